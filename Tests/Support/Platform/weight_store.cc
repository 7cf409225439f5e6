#include "Tests/Support/Platform/weight_store.h"

#include <algorithm>
#include <string>

#include "LibCore/text.h"

namespace wasabi::standin {

namespace {

constexpr core::Duration kTick = core::milliseconds(10);
constexpr int kRetryAfterMs = 500;
constexpr int kTooManyRequests = 429;

}  // namespace

WeightStore::WeightStore(core::EventLoop* loop,
                         const WeightStoreOptions& options)
    : options_(options), timer_(loop->NewTimer([this] { SendNextChunks(); })) {}

void WeightStore::Download(const std::shared_ptr<http::Exchange>& exchange,
                           uint64_t bytes) {
  if (transfers_.size() >= options_.slots) {
    exchange->Respond(kTooManyRequests,
                      {{std::string(http::kRetryAfterHeader), "1"},
                       {std::string(http::kRetryAfterMsHeader),
                        fmt::to_string(kRetryAfterMs)}},
                      R"({"error":{"message":"all slots are taken"}})");
    return;
  }
  exchange->StartStream(200, {{"Content-Type", "application/octet-stream"}});
  transfers_.push_back({exchange, bytes});
  if (transfers_.size() == 1) {
    timer_->StartRepeating(kTick);
  }
}

void WeightStore::SendNextChunks() {
  const double share = options_.bytes_per_second * core::ToSeconds(kTick) /
                       static_cast<double>(transfers_.size());
  for (Transfer& transfer : transfers_) {
    const uint64_t n =
        std::min(transfer.bytes_left, static_cast<uint64_t>(share) + 1);
    transfer.exchange->Write(std::string(n, '0'));
    transfer.bytes_left -= n;
    if (transfer.bytes_left == 0) {
      transfer.exchange->Finish();
    }
  }
  std::erase_if(transfers_, [](const Transfer& transfer) {
    return transfer.bytes_left == 0 || !transfer.exchange->is_open();
  });
  if (transfers_.empty()) {
    timer_->Stop();
  }
}

}  // namespace wasabi::standin
