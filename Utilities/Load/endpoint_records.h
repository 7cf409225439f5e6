// Fetches the executions and load samples that endpoints recorded during a run,
// and the metrics counters of routers.

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

// An engine's load at one point in time, as counted by the engine itself.
struct LoadSample {
  // CLOCK_MONOTONIC, nanoseconds.
  int64_t at_ns = 0;
  // Running and waiting requests.
  uint32_t requests = 0;
  // Outstanding tokens.
  uint64_t tokens = 0;
};

// The response of one endpoint to GET /executions. `samples` is empty for plain
// services.
struct EndpointRecords {
  std::string id;
  std::vector<support::Execution> executions;
  std::vector<LoadSample> samples;
};

// Parses the response body of GET /executions. Returns empty records if `body`
// is not a JSON object.
EndpointRecords ParseEndpointRecords(std::string_view body);

// Fetches the records of all `addresses` and calls `callback` once. Endpoints
// that can't be reached are omitted. `client` must outlive the call.
void FetchEndpointRecords(
    http::Client* client,
    const std::vector<core::SocketAddress>& addresses,
    const std::function<void(std::vector<EndpointRecords>)>& callback);

// Returns the value of the counter `name` in `metrics_text`, the response body
// of GET /metrics, summed over all label sets; 0 if the counter is missing.
double SumCounter(std::string_view metrics_text, std::string_view name);

// Fetches the counter `name` from all `addresses` and calls `callback` once
// with the values in the order of `addresses`; -1 for an address that can't be
// reached. `client` must outlive the call.
void FetchCounters(http::Client* client,
                   const std::vector<core::SocketAddress>& addresses,
                   const std::string& name,
                   const std::function<void(std::vector<double>)>& callback);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_ENDPOINT_RECORDS_H_
