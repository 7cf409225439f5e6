// Client of the platform's rate-limited weight store.

#ifndef LIBPLATFORM_WEIGHT_STORE_CLIENT_H_
#define LIBPLATFORM_WEIGHT_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/socket_address.h"
#include "LibHttp/client.h"

namespace wasabi::platform {

struct WeightDownload {
  std::string model;
  std::string version;
  uint64_t bytes = 0;
};

// The callbacks of a download, called on the event loop.
struct WeightDownloadCallbacks {
  // Receives a chunk of the weights, which may be empty.
  std::function<void(std::string_view chunk)> on_data;
  // Receives the result. OK when all bytes arrived; kPlatformUnavailable with a
  // retry delay when all slots are in use or the store has an outage;
  // kAnswerTruncated when the download was truncated.
  std::function<void(const absl::Status& status)> on_done;
};

class WeightStoreClient {
 public:
  // `client` must outlive this object.
  WeightStoreClient(http::Client* client, const core::SocketAddress& address);

  // Starts a download. Cancelling the returned call frees its slot.
  std::shared_ptr<http::ClientCall> Download(const WeightDownload& download,
                                             WeightDownloadCallbacks callbacks);

 private:
  http::Client* client_;
  const core::SocketAddress address_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_WEIGHT_STORE_CLIENT_H_
