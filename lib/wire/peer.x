/*
 * Messages between daemons, encoded as ONC RPC version 2 over TCP with record
 * marking (RFC 5531). Run ./generate after a change and commit its output.
 */

const PEER_NAME_MAX = 63;
const PEER_DIGEST_BYTES = 32;
const PEER_VALUE_MAX = 1048576;
const PEER_BODY_MAX = 67108864;
const PEER_HEADERS_MAX = 100;
const PEER_HEADER_NAME_MAX = 256;
const PEER_HEADER_VALUE_MAX = 8192;
const PEER_PATH_MAX = 8192;
const PEER_CALLER_MAX = 255;
const PEER_TICKET_MAX = 200;
const PEER_CRASHES_MAX = 16;

const CONTROL_PROGRAM = 0x20474f44;
const CONTROL_VERSION = 1;
const CONTROL_ANNOUNCE = 1;
const CONTROL_GET_MANIFEST = 2;
const CONTROL_GET_PART = 3;

const TRAFFIC_PROGRAM = 0x20474f45;
const TRAFFIC_VERSION = 1;
const TRAFFIC_REQUEST = 1;
const TRAFFIC_CANCEL = 2;
const TRAFFIC_HELLO = 5;

/* Forwards HTTP requests between the daemons of the platform's hosts. */
const RELAY_PROGRAM = 0x20474f46;
const RELAY_VERSION = 2;
const RELAY_REQUEST = 1;
const RELAY_CANCEL = 2;
const RELAY_PING = 3;
const RELAY_LEASE = 4;
const RELAY_LEASE_HANDOVER = 5;
const RELAY_RECALL = 6;

/* Distributes items of the store between daemons of the platform's hosts. */
const FEED_PROGRAM = 0x20474f47;
const FEED_VERSION = 2;
const FEED_PUSH = 1;

const RELAY_FIELDS_MAX = 131072;
const RELAY_TARGET_MAX = 65536;
const RELAY_ID_MAX = 1024;
const LEASE_ITEMS_MAX = 256;
const FEED_KEY_MAX = 255;
const FEED_ITEMS_MAX = 8192;
const FEED_ERAS = 8;
const FEED_ROOTS_MAX = 8;
const FEED_NOT_READ = -1;
const FEED_ENDED = -2;

/* Bits of flags in relay_answer and traffic_answer. */
const TRAFFIC_DRAINING = 1;
const TRAFFIC_CRASHED = 2;
const TRAFFIC_REPLAYED = 4;
const TRAFFIC_BROKEN = 8;
const TRAFFIC_CALLS_OTHERS = 16; /* the server calls other services */

struct peer_version {
	hyper number;
	opaque digest[PEER_DIGEST_BYTES];
};

struct peer_crash {
	unsigned hyper fingerprint;
	unsigned hyper origin;
	unsigned int count;
	unsigned int cleared;
	unsigned int left_ms;
};

struct control_announce {
	string host<PEER_NAME_MAX>;
	string control<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	peer_version in_force;
	peer_version candidate;
	hyper confirmation_age_ms;
	peer_crash crashes<PEER_CRASHES_MAX>;
};

struct control_get_part {
	opaque digest[PEER_DIGEST_BYTES];
};

struct control_value {
	bool found;
	opaque data<PEER_VALUE_MAX>;
};

struct traffic_hello {
	string host<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	bool draining;
};

struct traffic_header {
	string name<PEER_HEADER_NAME_MAX>;
	string value<PEER_HEADER_VALUE_MAX>;
};

struct traffic_request {
	string service<PEER_NAME_MAX>;
	string route<PEER_NAME_MAX>;
	peer_version version_id;
	string method<16>;
	string path<PEER_PATH_MAX>;
	traffic_header headers<PEER_HEADERS_MAX>;
	hyper time_left_ms;
	int hops;
	int retries;
	string caller<PEER_CALLER_MAX>;
	int priority;
	string ticket<PEER_TICKET_MAX>;
	unsigned hyper fingerprint;
	opaque body<PEER_BODY_MAX>;
};

struct traffic_answer {
	int reason;
	int status;
	unsigned int flags;
	int queued;
	int in_flight;
	int limit;
	hyper service_us;
	peer_crash crash;
	traffic_header headers<PEER_HEADERS_MAX>;
	opaque body<PEER_BODY_MAX>;
};

struct traffic_cancel {
	unsigned int xid;
};

/*
 * fields holds the forwarded header lines. time_left_ms is the time left until
 * the caller's deadline. objective_left_ms is the time left within the route's
 * latency objective; it is negative when the objective has passed.
 * answer_bytes is the usual response length of the route. When due_left_ms is
 * not 0, the request is refused if it would be answered later than that.
 * cost_us is its expected run time on a server of usual speed; 0: not known.
 * organisation is empty when the request has none; 0 is the most urgent of
 * organisation_priority.
 */
struct relay_request {
	string service<PEER_NAME_MAX>;
	hyper config_version;
	string method<16>;
	string target<RELAY_TARGET_MAX>;
	string fields<RELAY_FIELDS_MAX>;
	hyper time_left_ms;
	hyper objective_left_ms;
	string caller_service<PEER_NAME_MAX>;
	string request_id<RELAY_ID_MAX>;
	int priority;
	bool unless_unsound; /* refuse it while the server fails requests */
	bool at_most_once;
	unsigned hyper fingerprint;
	int answer_bytes;
	hyper due_left_ms;
	hyper cost_us;
	string organisation<PEER_NAME_MAX>;
	int organisation_priority;
	opaque body<PEER_BODY_MAX>;
};

/*
 * sent is true when the backend server received any part of the request.
 * pace_percent is how long work takes on the server's machine now, as the
 * server reports it: 100 is usual, 0 means that it reports no load. backlog_us
 * is the expected work outstanding at the server, divided by its slots.
 */
struct relay_answer {
	int reason;
	bool sent;
	int status;
	unsigned int flags;
	int queued;
	int in_flight;
	int limit;
	hyper wait_ms;
	hyper expected_ms;
	hyper service_us;
	int pace_percent;
	hyper backlog_us;
	peer_crash crash;
	string fields<RELAY_FIELDS_MAX>;
	opaque body<PEER_BODY_MAX>;
};

struct relay_cancel {
	unsigned int xid;
};

struct relay_ping {
	bool draining;
};

/*
 * Asks the owner of organisations for tokens, and returns unused ones. An
 * organisation is named by quota_id(), which is shorter than its name.
 */
struct lease_ask {
	unsigned hyper organisation;
	unsigned int wanted;
	unsigned int unused;
};

struct relay_lease {
	lease_ask asks<LEASE_ITEMS_MAX>;
};

/*
 * The answer to one ask. If the daemon is not the owner, owner is the IP number
 * of the one that it knows, or empty.
 */
struct lease_grant {
	bool is_owner;
	string owner<PEER_NAME_MAX>;
	unsigned int tokens;
	unsigned int wait_ms;
};

/* The grants, in the order of the asks. */
struct relay_grants {
	lease_grant grants<LEASE_ITEMS_MAX>;
};

/* The bucket of an organisation whose owner has changed, in 1/1000 tokens. */
struct lease_handover {
	unsigned hyper organisation;
	hyper tokens;
	hyper outstanding;
};

struct relay_lease_handover {
	lease_handover items<LEASE_ITEMS_MAX>;
};

/* Refuses a request whose key was revoked, unless it runs already. */
struct relay_recall {
	unsigned int xid;
};

/*
 * An item of the store. A deleted item has no value; hold_ms is the time for
 * which its last value is still used. When plain_bytes is not 0, the value is
 * compressed in the zlib format, and plain_bytes is its uncompressed length.
 * revision is a position (mesh/position.h). held is not 0 when the item
 * overrides that of a restored copy (mesh/feed.h).
 */
struct feed_entry {
	string key<FEED_KEY_MAX>;
	hyper revision;
	hyper held;
	bool deleted;
	hyper hold_ms;
	unsigned int plain_bytes;
	opaque value<PEER_VALUE_MAX>;
};

/*
 * A daemon from which the state in the message originates. read_age_ms is the
 * time since it last read the store, FEED_NOT_READ when it has not read it, or
 * FEED_ENDED when its process is known to have ended.
 */
struct feed_root {
	string ip<PEER_NAME_MAX>;
	hyper read_age_ms;
};

/*
 * All items that changed after position `from`, up to position `to`. `before`
 * has, for each of the latest eras before the sender's, the highest position of
 * which it knew all items when that era ended, at the index of the era modulo
 * FEED_ERAS; 0: it knew none. held_digest is that of its held items; these are sent
 * also without a change when the digests of two daemons differ.
 */
struct feed_push {
	string ip<PEER_NAME_MAX>;
	hyper from;
	hyper to;
	hyper before[FEED_ERAS];
	unsigned hyper held_digest;
	feed_root roots<FEED_ROOTS_MAX>;
	peer_crash crashes<PEER_CRASHES_MAX>;
	feed_entry entries<FEED_ITEMS_MAX>;
};

struct feed_reply {
	hyper revision;
	unsigned hyper held_digest;
};
