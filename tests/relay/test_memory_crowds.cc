/*
 * Crowds of many connections, each of which sends or leaves little, against a
 * daemon with low limits. Each test guards against a process that outgrows its
 * machine by the sum of what its connections hold: bodies without an announced
 * length, bytes that wait unread, and responses that nobody reads.
 */
#include "crowd_platform.h"

#define MEMORY_MAX 64000000
#define BODY_BYTES 1000000

/* Callers get a third of the descriptors less 200, which is 1,300. */
#define CROWD 1200
#define DESCRIPTORS_MAX 4100

static void check(const std::string &payload, size_t per_pass = CROWD,
		  const std::vector<std::string> &backend = {
			  "--service-ms", "100", "--slots", "4" })
{
	Platform in(1, backend);

	crowd_start(in,
		    { "limits.memory_mb=64",
		      "limits.max_fds=" + std::to_string(DESCRIPTORS_MAX) },
		    BODY_BYTES);
	Usage usage = crowd_usage(in.hosts[0]);
	Crowd crowd(in.hosts[0].callers, payload, CROWD, per_pass);
	crowd_run({ &crowd }, usage);
	crowd_expect_served(in, usage, MEMORY_MAX);
	EXPECT_LE(usage.peak_descriptors(), (size_t)DESCRIPTORS_MAX);
}

/* The same request many times, sent without waiting for responses. */
static std::string repeated(const std::string &request, int nr)
{
	std::string payload;

	for (int i = 0; i < nr; i++)
		payload += request;
	return payload;
}

static std::string get(const std::string &fields)
{
	return "GET /docs/1 HTTP/1.1\r\nHost: mesh.example\r\n"
	       "X-Request-Id: crowd\r\n" +
	       fields + "\r\n";
}

TEST(MemoryCrowds, HoldsWithAnnouncedBodiesOneByteShort)
{
	check(crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES - 1));
}

TEST(MemoryCrowds, HoldsWithWholeBodiesAtOnce)
{
	check(crowd_announced("/docs/1", BODY_BYTES, BODY_BYTES));
}

TEST(MemoryCrowds, HoldsWithLargeChunksWithoutEnd)
{
	check(crowd_chunks("/docs/1", 65000, 15));
}

TEST(MemoryCrowds, HoldsWithChunksWithoutEnd)
{
	check(crowd_chunks("/docs/1", 8192, 120));
}

/* Bodies of 35 KB, which fit one by one and not all at once. */
TEST(MemoryCrowds, HoldsWithShortBodiesWithoutEnd)
{
	check(crowd_chunks("/docs/1", 5000, 7));
}

TEST(MemoryCrowds, HoldsWithChunksOfOneByte)
{
	check(crowd_chunks("/docs/1", 1, 50000));
}

TEST(MemoryCrowds, HoldsWithChunksFarOverTheLimit)
{
	check(crowd_chunks("/docs/1", 8192, 480));
}

TEST(MemoryCrowds, HoldsWithManyLongHeadsOnEachConnection)
{
	check(repeated(get("A: " + std::string(8000, 'x') + "\r\n"), 30));
}

/* At once, most of them would be refused as the queue of the server is full. */
TEST(MemoryCrowds, HoldsWithResponsesThatAreNotRead)
{
	check(get(""), 8,
	      { "--service-ms", "2", "--slots", "4", "--body-bytes",
		std::to_string(BODY_BYTES) });
}

/* Open connections must not take the room of the largest body in calm. */
TEST(MemoryCrowds, ServesTheLargestBodyBesideIdleConnections)
{
	const int body_max = 64 * 1024 * 1024;
	Platform in(1, { "--service-ms", "5" });

	crowd_start(in, { "limits.memory_mb=110", "limits.max_fds=4100" },
		    body_max);
	Usage usage = crowd_usage(in.hosts[0]);
	Crowd crowd(in.hosts[0].callers, "", 400);
	ASSERT_TRUE(eventually([&] {
		usage.sample();
		return usage.peak_descriptors() > 400;
	}));
	EXPECT_EQ(in.send_request(0, "POST", "/docs/1",
				  std::string((size_t)body_max, 'x'), 3000)
			  .status,
		  200);
	usage.sample();
	EXPECT_LE(usage.peak_bytes(), 110000000u);
}
