// The weight store of the platform stand-in: a limited number of downloads at
// once, which share a limited rate.

#ifndef TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_
#define TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/exchange.h"

namespace wasabi::standin {

struct WeightStoreOptions {
  // Downloads at once; further ones are refused.
  size_t slots = 2;
  // Rate of all downloads together, in bytes per second.
  double bytes_per_second = 64.0 * 1024 * 1024;
};

class WeightStore {
 public:
  WeightStore(core::EventLoop* loop, const WeightStoreOptions& options);

  // Answers with a body of `bytes` zero digits at the download's share of the
  // rate, or with 429 and Retry-After when no slot is free.
  void Download(const std::shared_ptr<http::Exchange>& exchange,
                uint64_t bytes);

 private:
  struct Transfer {
    std::shared_ptr<http::Exchange> exchange;
    uint64_t bytes_left = 0;
  };

  void SendShares();

  const WeightStoreOptions options_;
  std::vector<Transfer> transfers_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_WEIGHT_STORE_H_
