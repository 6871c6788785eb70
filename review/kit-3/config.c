#include "config.h"
#include "kit.h"

#define VALUE_MAX 8192

void kit_publish(const struct config *config)
{
	const char *warmup = config->warmup ? config->warmup : "3s";
	char value[VALUE_MAX];

	snprintf(value, sizeof(value),
		 "{\"resource_version\":\"r%d\",\"routes\":{\"columns\":["
		 "\"name\",\"hostname\",\"path_prefix\",\"kind\",\"timeout\","
		 "\"target_latency\",\"priority\",\"service\",\"attempts\","
		 "\"traffic_split\"],"
		 "\"rows\":[%s]},\"services\":{\"columns\":[\"name\","
		 "\"health_path\",\"max_connections\",\"protocol\",\"tls\","
		 "\"warmup\",\"warmup_per_s\"],\"rows\":["
		 "[\"shop\",\"/health\",130,\"h1\",false,\"%s\",16.0],"
		 "[\"docs\",\"/health\",130,\"h1\",false,\"%s\",16.0]]},"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":%ld,\"header_timeout\":\"3000ms\","
		 "\"idle_timeout\":\"15000ms\"},\"base_version\":\"r1\"}",
		 config->version, config->rows, warmup, warmup,
		 config->body_max);
	kit_put("op/config", value);
	kit_record("version r%d, max_body_bytes %ld", config->version,
		   config->body_max);
}
