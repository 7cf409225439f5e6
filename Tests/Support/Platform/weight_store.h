// The weight store of the platform stand-in, which limits the number of
// concurrent downloads and their total rate.

#ifndef TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_
#define TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/exchange.h"

namespace wasabi::standin {

struct WeightStoreOptions {
  // Maximum number of concurrent downloads; further ones are rejected.
  size_t slots = 2;
  // Total rate of all downloads in bytes per second, shared equally.
  double bytes_per_second = 64.0 * 1024 * 1024;
};

class WeightStore {
 public:
  WeightStore(core::EventLoop* loop, const WeightStoreOptions& options);

  // Streams a body of `bytes` characters '0' at the download's share of the
  // rate, or responds with 429 and Retry-After if no slot is free.
  void Download(const std::shared_ptr<http::Exchange>& exchange,
                uint64_t bytes);

 private:
  struct Transfer {
    std::shared_ptr<http::Exchange> exchange;
    uint64_t bytes_left = 0;
  };

  void SendNextChunks();

  const WeightStoreOptions options_;
  std::vector<Transfer> transfers_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_
