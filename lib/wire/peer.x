/*
 * Messages between daemons, carried as ONC RPC version 2 over TCP with record
 * marking. Run ./generate after a change; the output is committed.
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

/* Requests between the daemons of the platform's hosts. */
const RELAY_PROGRAM = 0x20474f46;
const RELAY_VERSION = 1;
const RELAY_REQUEST = 1;
const RELAY_CANCEL = 2;
const RELAY_PING = 3;

/* Published items between the daemons of the platform's hosts. */
const FEED_PROGRAM = 0x20474f47;
const FEED_VERSION = 1;
const FEED_PUSH = 1;

const RELAY_FIELDS_MAX = 131072;
const RELAY_TARGET_MAX = 65536;
const RELAY_ID_MAX = 1024;
const FEED_KEY_MAX = 255;
const FEED_ITEMS_MAX = 8192;
const FEED_ROOTS_MAX = 8;
const FEED_NOT_READ = -1;
const FEED_ENDED = -2;

/* Flags of a relay_answer and of a traffic_answer. */
const TRAFFIC_DRAINING = 1;
const TRAFFIC_CRASHED = 2;
const TRAFFIC_REPLAYED = 4;
const TRAFFIC_BROKEN = 8;
const TRAFFIC_CALLS_OTHERS = 16; /* the server makes calls of its own */

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
 * fields are the header lines that are passed on. Within objective_left_ms the
 * answer is worth most; it may have passed. answer_bytes is the usual length of
 * the route's answers. due_left_ms, unless 0, asks to refuse the request if it
 * would be answered later.
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
	bool unless_unsound; /* refused while the server fails requests */
	bool at_most_once;
	unsigned hyper fingerprint;
	int answer_bytes;
	hyper due_left_ms;
	opaque body<PEER_BODY_MAX>;
};

/* sent says that the backend server received at least a part. */
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
 * An item as it was published; a deleted one has no value. The value is in
 * the zlib format when plain_bytes, its length without it, is not 0.
 */
struct feed_entry {
	string key<FEED_KEY_MAX>;
	hyper revision;
	bool deleted;
	hyper hold_ms;
	unsigned int plain_bytes;
	opaque value<PEER_VALUE_MAX>;
};

/*
 * A daemon whose news the message brings. The age is that of its newest
 * reading of the store; FEED_NOT_READ without one, FEED_ENDED when its process
 * was seen to end.
 */
struct feed_root {
	string ip<PEER_NAME_MAX>;
	hyper read_age_ms;
};

/* All items that changed after the revision from, up to the revision to. */
struct feed_push {
	string ip<PEER_NAME_MAX>;
	hyper from;
	hyper to;
	feed_root roots<FEED_ROOTS_MAX>;
	peer_crash crashes<PEER_CRASHES_MAX>;
	feed_entry entries<FEED_ITEMS_MAX>;
};

struct feed_reply {
	hyper revision;
};
