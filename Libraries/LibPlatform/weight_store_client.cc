#include "LibPlatform/weight_store_client.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibPlatform/http_response.h"

namespace wasabi::platform {

namespace {

using core::MakeStatus;
using core::ResultCode;

// The state of a download in flight.
struct Progress {
  WeightDownload download;
  WeightDownloadCallbacks callbacks;
  http::ClientResponse head;
  uint64_t received_bytes = 0;

  void OnData(std::string_view chunk) {
    if (head.status != 200) {
      return;
    }
    received_bytes += chunk.size();
    if (callbacks.on_data) {
      callbacks.on_data(chunk);
    }
  }

  absl::Status Result(const absl::Status& status) const {
    if (core::CodeOf(status) == ResultCode::kPeerUnreachable) {
      return MakeStatus(ResultCode::kPlatformUnavailable,
                        core::MessageOf(status));
    }
    if (!status.ok()) {
      return MakeStatus(ResultCode::kAnswerTruncated, core::MessageOf(status));
    }
    if (head.status != 200) {
      return RefusalOf(head);
    }
    if (received_bytes != download.bytes) {
      return MakeStatus(
          ResultCode::kAnswerTruncated,
          "the length of the received weights is not the requested one");
    }
    return absl::OkStatus();
  }
};

}  // namespace

WeightStoreClient::WeightStoreClient(http::Client* client,
                                     const core::SocketAddress& address)
    : client_(client), address_(address) {}

std::shared_ptr<http::ClientCall> WeightStoreClient::Download(
    const WeightDownload& download,
    WeightDownloadCallbacks callbacks) {
  const auto progress = std::make_shared<Progress>();
  progress->download = download;
  progress->callbacks = std::move(callbacks);
  http::ClientRequest request;
  request.address = address_;
  request.target = fmt::format("/v1/weights/{}/{}?bytes={}", download.model,
                               download.version, download.bytes);
  http::ClientCallbacks handlers;
  handlers.on_headers = [progress](int status, const http::Headers& headers) {
    progress->head.status = status;
    progress->head.headers = headers;
  };
  handlers.on_data = [progress](std::string_view chunk) {
    progress->OnData(chunk);
  };
  handlers.on_done = [progress](const absl::Status& status) {
    progress->callbacks.on_done(progress->Result(status));
  };
  return client_->Send(request, std::move(handlers));
}

}  // namespace wasabi::platform
