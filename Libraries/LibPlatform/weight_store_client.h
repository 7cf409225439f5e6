// Downloads from the platform's rate-limited weight store.

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

// What the caller of Download hears, on the loop.
struct WeightDownloadCallbacks {
  // A piece of the weights; may be empty.
  std::function<void(std::string_view chunk)> on_data;
  // The end. OK when all bytes arrived; kPlatformUnavailable with a retry time
  // when every slot is taken or the store has an outage; kAnswerTruncated when
  // the download broke off.
  std::function<void(const absl::Status& status)> on_done;
};

class WeightStoreClient {
 public:
  // `client` must outlive this object.
  WeightStoreClient(http::Client* client, const core::SocketAddress& address);

  // Starts a download; cancelling the call frees its slot.
  std::shared_ptr<http::ClientCall> Download(const WeightDownload& download,
                                             WeightDownloadCallbacks callbacks);

 private:
  http::Client* client_;
  const core::SocketAddress address_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_WEIGHT_STORE_CLIENT_H_
