// What the endpoints and routers recorded about a run.

#ifndef UTILITIES_LOAD_ENDPOINT_RECORDS_H_
#define UTILITIES_LOAD_ENDPOINT_RECORDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibHttp/client.h"
#include "Tests/Support/execution_log.h"

namespace wasabi::load {

// An engine's own count of its work at one moment.
struct LoadSample {
  int64_t at_ns = 0;
  uint32_t requests = 0;
  uint64_t tokens = 0;
};

// The answer of one endpoint to GET /executions.
struct EndpointRecords {
  std::string id;
  std::vector<support::Execution> executions;
  std::vector<LoadSample> samples;
};

// Reads the body of GET /executions; empty records where it is broken.
EndpointRecords ParseEndpointRecords(std::string_view body);

// Fetches the records of all `addresses`; endpoints that can't be reached are
// left out.
void FetchEndpointRecords(
    http::Client* client,
    const std::vector<core::SocketAddress>& addresses,
    const std::function<void(std::vector<EndpointRecords>)>& callback);

// The value of the counter `name` in the text of GET /metrics; 0 where it is
// missing. Values with different labels are added up.
double CounterIn(std::string_view metrics_text, std::string_view name);

// Fetches the counter `name` of each of `addresses`, in their order; -1 for one
// that can't be reached.
void FetchCounters(http::Client* client,
                   const std::vector<core::SocketAddress>& addresses,
                   const std::string& name,
                   const std::function<void(std::vector<double>)>& callback);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_ENDPOINT_RECORDS_H_
