#include "LibPlatform/http_log_client.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibPlatform/http_response.h"
#include "LibPlatform/log_json.h"

namespace wasabi::platform {

namespace {

using core::MakeStatus;
using core::ResultCode;
using Response = absl::StatusOr<http::ClientResponse>;

bool IsClientError(int status) {
  return status >= 400 && status < 500;
}

// Maps the response to an append to what is certain about its record.
absl::StatusOr<Offset> AppendResult(const Response& response) {
  if (!response.ok()) {
    const bool was_sent =
        core::CodeOf(response.status()) != ResultCode::kPeerUnreachable;
    return MakeStatus(was_sent ? ResultCode::kAppendUncertain
                               : ResultCode::kPlatformUnavailable,
                      core::MessageOf(response.status()));
  }
  if (IsRefusal(*response) || IsClientError(response->status)) {
    return RefusalOf(*response);
  }
  if (response->status != 200) {
    return MakeStatus(
        ResultCode::kAppendUncertain,
        fmt::format("the log responded with HTTP status {}", response->status));
  }
  absl::StatusOr<Offset> offset = AppendedOffsetFromJson(response->body);
  if (!offset.ok()) {
    return MakeStatus(ResultCode::kAppendUncertain,
                      core::MessageOf(offset.status()));
  }
  return offset;
}

absl::StatusOr<LogPage> ReadResult(const Response& response) {
  if (!response.ok()) {
    return MakeStatus(ResultCode::kPlatformUnavailable,
                      core::MessageOf(response.status()));
  }
  if (response->status ==
      core::Describe(ResultCode::kRecordsTruncated).http_status) {
    return MakeStatus(ResultCode::kRecordsTruncated,
                      "the log no longer retains the requested offset");
  }
  if (response->status != 200) {
    return RefusalOf(*response);
  }
  absl::StatusOr<LogPage> page = LogPageFromJson(response->body);
  if (!page.ok()) {
    return MakeStatus(ResultCode::kPlatformUnavailable,
                      core::MessageOf(page.status()));
  }
  return page;
}

}  // namespace

HttpLogClient::HttpLogClient(http::Client* client,
                             const HttpLogClientOptions& options)
    : client_(client), options_(options) {}

void HttpLogClient::Append(const std::string& stream,
                           std::string body,
                           AppendCallback callback) {
  http::ClientRequest request;
  request.method = "POST";
  request.address = options_.address;
  request.target = fmt::format("/v1/streams/{}/records", stream);
  request.headers.Add("Content-Type", "text/plain");
  request.headers.Add("Connection", "close");
  request.body = std::move(body);
  request.total_timeout = options_.append_timeout;
  request.needs_fresh_connection = true;
  client_->Fetch(request,
                 [callback = std::move(callback)](const Response& response) {
                   callback(AppendResult(response));
                 });
}

void HttpLogClient::Read(const std::string& stream,
                         Offset from,
                         core::Duration wait,
                         ReadCallback callback) {
  const std::string target =
      fmt::format("/v1/streams/{}/records?from={}&wait_ms={}&limit={}", stream,
                  from, core::ToMilliseconds(wait), options_.page_records);
  FetchPage(target, wait + options_.read_timeout, std::move(callback));
}

void HttpLogClient::Bounds(const std::string& stream, ReadCallback callback) {
  FetchPage(fmt::format("/v1/streams/{}", stream), options_.read_timeout,
            std::move(callback));
}

void HttpLogClient::FetchPage(const std::string& target,
                              core::Duration timeout,
                              ReadCallback callback) {
  http::ClientRequest request;
  request.address = options_.address;
  request.target = target;
  request.total_timeout = timeout;
  client_->Fetch(request,
                 [callback = std::move(callback)](const Response& response) {
                   callback(ReadResult(response));
                 });
}

}  // namespace wasabi::platform
