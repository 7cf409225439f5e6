#include "Utilities/Load/endpoint_records.h"

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/text.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::load {

namespace {

constexpr core::Duration kFetchTimeout = std::chrono::seconds(10);

using Responses = std::vector<absl::StatusOr<http::ClientResponse>>;

// Fetches `target` from all `addresses` and calls `callback` once with the
// responses in the order of `addresses`.
void FetchAll(http::Client* client,
              const std::vector<core::SocketAddress>& addresses,
              const std::string& target,
              const std::function<void(const Responses&)>& callback) {
  if (addresses.empty()) {
    callback({});
    return;
  }
  const auto responses = std::make_shared<Responses>(addresses.size());
  const auto left = std::make_shared<size_t>(addresses.size());
  for (size_t i = 0; i < addresses.size(); ++i) {
    http::ClientRequest request;
    request.address = addresses[i];
    request.target = target;
    request.total_timeout = kFetchTimeout;
    client->Fetch(request, [=](absl::StatusOr<http::ClientResponse> response) {
      (*responses)[i] = std::move(response);
      if (--*left == 0) {
        callback(*responses);
      }
    });
  }
}

}  // namespace

EndpointRecords ParseEndpointRecords(std::string_view body) {
  EndpointRecords records;
  const nlohmann::json json = support::ParseObject(body);
  if (!json.is_object()) {
    return records;
  }
  records.id = json.value("id", "");
  for (const nlohmann::json& it :
       json.value("executions", nlohmann::json::array())) {
    records.executions.push_back(support::ExecutionFromJson(it));
  }
  for (const nlohmann::json& it :
       json.value("load_samples", nlohmann::json::array())) {
    records.samples.push_back(
        {it.value("at_ns", int64_t{0}),
         it.value("running", 0U) + it.value("waiting", 0U),
         it.value("outstanding_tokens", uint64_t{0})});
  }
  return records;
}

void FetchEndpointRecords(
    http::Client* client,
    const std::vector<core::SocketAddress>& addresses,
    const std::function<void(std::vector<EndpointRecords>)>& callback) {
  FetchAll(client, addresses, "/executions", [callback](const Responses& all) {
    std::vector<EndpointRecords> records;
    for (const auto& response : all) {
      if (response.ok() && response->status == support::kHttpOk) {
        records.push_back(ParseEndpointRecords(response->body));
      }
    }
    callback(std::move(records));
  });
}

double SumCounter(std::string_view metrics_text, std::string_view name) {
  double total = 0;
  for (const std::string& line : core::SplitList(metrics_text, '\n')) {
    const std::string_view text = line;
    if (!text.starts_with(name)) {
      continue;
    }
    const std::string_view rest = text.substr(name.size());
    if (!rest.starts_with(' ') && !rest.starts_with('{')) {
      continue;
    }
    const size_t blank = text.rfind(' ');
    total += core::ParseNumber<double>(text.substr(blank + 1)).value_or(0);
  }
  return total;
}

void FetchCounters(http::Client* client,
                   const std::vector<core::SocketAddress>& addresses,
                   const std::string& name,
                   const std::function<void(std::vector<double>)>& callback) {
  FetchAll(client, addresses, "/metrics",
           [name, callback](const Responses& all) {
             std::vector<double> values;
             for (const auto& response : all) {
               constexpr double kUnreachable = -1;
               values.push_back(response.ok() ? SumCounter(response->body, name)
                                              : kUnreachable);
             }
             callback(std::move(values));
           });
}

}  // namespace wasabi::load
