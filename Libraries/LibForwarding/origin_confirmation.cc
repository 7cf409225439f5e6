#include "LibForwarding/origin_confirmation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wasabi::forwarding {

namespace {

constexpr core::Duration kMaxWait = core::milliseconds(200);
constexpr core::Duration kMinReadInterval = core::milliseconds(100);
// A read that has not ended by then failed without a result.
constexpr core::Duration kMaxReadTime = core::milliseconds(600);

}  // namespace

OriginConfirmation::OriginConfirmation(ReadFunction read)
    : read_(std::move(read)) {}

void OriginConfirmation::Confirm(core::TimePoint received_at,
                                 core::TimePoint now,
                                 Callback callback) {
  if (confirmed_at_ && *confirmed_at_ >= received_at) {
    callback(true);
    return;
  }
  waiting_.push_back({.received_at = received_at,
                      .ends_at = now + kMaxWait,
                      .callback = std::move(callback)});
  StartRead(now);
}

void OriginConfirmation::Tick(core::TimePoint now) {
  if (read_started_at_ && now - *read_started_at_ > kMaxReadTime) {
    read_started_at_.reset();
  }
  Finish([now](const Waiting& it) { return now >= it.ends_at; }, false);
  if (!waiting_.empty()) {
    StartRead(now);
  }
}

void OriginConfirmation::StartRead(core::TimePoint now) {
  if (read_started_at_ || now < next_read_at_) {
    return;
  }
  read_started_at_ = now;
  next_read_at_ = now + kMinReadInterval;
  read_(
      [this, read = ++reads_](bool is_complete) { OnRead(read, is_complete); });
}

void OriginConfirmation::OnRead(uint64_t read, bool is_complete) {
  if (!read_started_at_ || read != reads_) {
    return;
  }
  const core::TimePoint started_at = *read_started_at_;
  read_started_at_.reset();
  if (!is_complete) {
    // The platform would not tell the later requests either.
    Finish([](const Waiting& /*it*/) { return true; }, false);
    return;
  }
  confirmed_at_ = started_at;
  Finish(
      [started_at](const Waiting& it) { return it.received_at <= started_at; },
      true);
}

void OriginConfirmation::Finish(
    const std::function<bool(const Waiting& waiting)>& is_over,
    bool is_confirmed) {
  const auto over =
      std::stable_partition(waiting_.begin(), waiting_.end(),
                            [&](const Waiting& it) { return !is_over(it); });
  std::vector<Waiting> ended(std::make_move_iterator(over),
                             std::make_move_iterator(waiting_.end()));
  waiting_.erase(over, waiting_.end());
  for (const Waiting& it : ended) {
    it.callback(is_confirmed);
  }
}

}  // namespace wasabi::forwarding
