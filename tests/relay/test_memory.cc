/*
 * Callers that respect no limits, against daemons with low limits of memory and
 * descriptors. Each test guards against a process that exits, or outgrows its
 * machine, because of what such callers make it hold.
 */
#include "crowd_platform.h"

#include <arpa/inet.h>

#define MEMORY_MAX 64000000
#define CROWD 250
#define BODY_BYTES 1000000
#define DESCRIPTORS_MAX 400
#define DESCRIPTORS_FOR_FILES 200

static void check_callers(const std::string &payload)
{
	Platform in(1, { "--service-ms", "100", "--slots", "4" });

	crowd_start(in, { "limits.memory_mb=64" }, BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[0]);
	Crowd crowd(in.hosts[0].callers, payload, CROWD);
	crowd_run({ &crowd }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
}

TEST(Memory, HoldsWithAnnouncedBodiesOneByteShort)
{
	check_callers(crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES - 1));
}

TEST(Memory, HoldsWithAnnouncedBodiesFiftyBytesShort)
{
	check_callers(crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES - 50));
}

TEST(Memory, HoldsWithLargeChunksWithoutEnd)
{
	check_callers(crowd_chunks("/docs/1", 50000, 20));
}

TEST(Memory, HoldsWithOneLargeChunkOneByteShort)
{
	std::string payload = crowd_chunks("/docs/1", BODY_BYTES, 1);

	check_callers(payload.substr(0, payload.size() - 3));
}

TEST(Memory, HoldsWithWholeBodiesAtOnce)
{
	check_callers(crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES));
}

TEST(Memory, HoldsWithChunksOfOneByte)
{
	check_callers(crowd_chunks("/docs/1", 1, 200000));
}

TEST(Memory, HoldsWithLongChunkExtensions)
{
	check_callers(crowd_chunks("/docs/1", 10, 200,
				   ";a=" + std::string(4000, 'x')));
}

TEST(Memory, HoldsWithBodiesAnnouncedOverTheLimit)
{
	check_callers(crowd_announced("/docs/1", 100 * BODY_BYTES, BODY_BYTES));
}

TEST(Memory, HoldsWithBodiesSentOverTheLimit)
{
	check_callers(crowd_chunks("/docs/1", 50000, 40));
}

TEST(Memory, HoldsWithMessageHeadsWithoutEnd)
{
	std::string text =
		crowd_head("/docs/1", "A: " + std::string(15000, 'x'));

	check_callers(text.substr(0, text.size() - 2));
}

/* Whole bodies that other daemons pass on to a limited one. */
TEST(Memory, HoldsWithBodiesFromOtherDaemons)
{
	Platform in(4, { "--service-ms", "100", "--slots", "4" });

	const size_t length = 8 * BODY_BYTES;

	crowd_start(in, { "limits.memory_mb=64" }, (int)length);
	Usage usage = crowd_usage(in.hosts[3]);
	std::string payload = crowd_announced("/docs/1", length, length);
	Crowd first(in.hosts[0].callers, payload, CROWD / 10);
	Crowd second(in.hosts[1].callers, payload, CROWD / 10);
	crowd_run({ &first, &second }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
}

/* Requests from other daemons of which the last byte never comes. */
TEST(Memory, HoldsWithRecordsOneByteShort)
{
	const uint32_t words[] = { htonl(0x80000000U | BODY_BYTES), /* mark */
				   htonl(1),	      /* transaction */
				   htonl(0),	      /* call */
				   htonl(2),	      /* version of ONC RPC */
				   htonl(0x20474f46), /* RELAY_PROGRAM */
				   htonl(1),	      /* RELAY_VERSION */
				   htonl(1),	      /* RELAY_REQUEST */
				   0,
				   0,
				   0,
				   0 };
	Platform in(1);

	crowd_start(in, { "limits.memory_mb=64" }, BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[0]);
	Crowd crowd(in.hosts[0].peers,
		    std::string((const char *)words, sizeof(words)) +
			    std::string(BODY_BYTES + 4 - 1 - sizeof(words),
					'x'),
		    CROWD);
	crowd_run({ &crowd }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
}

TEST(Memory, HoldsWithBodiesFromCallersAndOtherDaemons)
{
	Platform in(4, { "--service-ms", "100", "--slots", "4" });

	crowd_start(in, { "limits.memory_mb=64" }, BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[3]);
	std::string whole = crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES);
	Crowd first(in.hosts[0].callers, whole, CROWD);
	Crowd second(in.hosts[3].callers,
		     crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES - 1),
		     CROWD);
	crowd_run({ &first, &second }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
}

/* Callers that send requests one after the other and read no response. */
TEST(Memory, HoldsWithResponsesThatAreNotRead)
{
	Platform in(1, { "--service-ms", "2", "--slots", "4", "--body-bytes",
			 std::to_string(BODY_BYTES) });
	std::string payload;

	crowd_start(in, { "limits.memory_mb=64" }, BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[0]);
	for (int i = 0; i < 100; i++)
		payload += "GET /docs/1 HTTP/1.1\r\nHost: mesh.example\r\n"
			   "X-Request-Id: crowd\r\n\r\n";
	Crowd crowd(in.hosts[0].callers, payload, CROWD);
	crowd_run({ &crowd }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
}

TEST(Memory, HoldsDescriptorsWithIdleConnections)
{
	Platform in(1);

	crowd_start(in, { "limits.max_fds=" + std::to_string(DESCRIPTORS_MAX) },
		    BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[0]);
	Crowd crowd(in.hosts[0].callers, "GET /docs/1 HTTP/1.1\r\n",
		    2 * DESCRIPTORS_MAX);
	crowd_run({ &crowd }, usage);
	crowd_expect_served(in, usage, 4 * MEMORY_MAX);
	EXPECT_LE(usage.peak_descriptors(),
		  (size_t)(DESCRIPTORS_MAX - DESCRIPTORS_FOR_FILES));
}

/* One request of the largest body that a configuration usually allows. */
static void check_largest(int hosts)
{
	const int body_max = 64 * 1024 * 1024;
	Platform in(hosts, { "--service-ms", "5" });

	for (int i = 0; i < hosts; i++)
		in.set(i, "limits.memory_mb=110");
	crowd_start(in, { "limits.memory_mb=110" }, body_max);
	Usage first = crowd_usage(in.hosts[0]);
	Usage last = crowd_usage(in.hosts[(size_t)hosts - 1]);
	EXPECT_EQ(in.send_request(0, "POST", "/docs/1",
				  std::string((size_t)body_max, 'x'), 3000)
			  .status,
		  200);
	first.sample();
	last.sample();
	printf("peak: %zu and %zu bytes\n", first.peak_bytes(),
	       last.peak_bytes());
	EXPECT_LE(first.peak_bytes(), 110000000u);
	EXPECT_LE(last.peak_bytes(), 110000000u);
}

TEST(Memory, ServesTheLargestBodyOnASmallHost)
{
	check_largest(1);
}

TEST(Memory, ServesTheLargestBodyOverTwoSmallHosts)
{
	check_largest(2);
}
