#include "LibPlatform/http_host_list_client.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibPlatform/host_list_json.h"
#include "LibPlatform/http_response.h"

namespace wasabi::platform {

namespace {

using core::MakeStatus;
using core::ResultCode;
using Response = absl::StatusOr<http::ClientResponse>;

constexpr core::Duration kFetchTimeout = core::seconds(3);

absl::StatusOr<HostList> ListResult(const Response& response) {
  if (!response.ok()) {
    return MakeStatus(ResultCode::kPlatformUnavailable,
                      core::MessageOf(response.status()));
  }
  if (response->status != 200) {
    return RefusalOf(*response);
  }
  absl::StatusOr<HostList> list = HostListFromJson(response->body);
  if (!list.ok()) {
    return MakeStatus(ResultCode::kPlatformUnavailable,
                      core::MessageOf(list.status()));
  }
  return list;
}

}  // namespace

HttpHostListClient::HttpHostListClient(http::Client* client,
                                       const core::SocketAddress& address)
    : client_(client), address_(address) {}

void HttpHostListClient::Fetch(uint64_t known_version, Callback callback) {
  http::ClientRequest request;
  request.address = address_;
  request.target = fmt::format("/v1/hosts?known={}", known_version);
  request.total_timeout = kFetchTimeout;
  client_->Fetch(request,
                 [callback = std::move(callback)](const Response& response) {
                   callback(ListResult(response));
                 });
}

}  // namespace wasabi::platform
