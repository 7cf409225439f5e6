#include "LibLedger/state_freshness.h"

#include <algorithm>

namespace wasabi::ledger {

namespace {

constexpr int kPagesAfterPause = 2;

}  // namespace

StateFreshness::StateFreshness(const FreshnessOptions& options,
                               core::TimePoint now)
    : options_(options), last_tick_at_(now) {}

void StateFreshness::OnTick(core::TimePoint now) {
  if (now > last_tick_at_ + options_.pause_threshold) {
    pages_until_current_ = kPagesAfterPause;
  }
  last_tick_at_ = now;
}

void StateFreshness::OnCaughtUp() {
  pages_until_current_ = std::max(pages_until_current_ - 1, 0);
}

void StateFreshness::OnOtherWriterGroup(core::TimePoint now,
                                        int64_t wall_now_ms,
                                        int64_t wall_ms) {
  const int64_t tolerance_ms = core::ToMilliseconds(options_.clock_tolerance);
  const int64_t age_ms =
      std::max<int64_t>(wall_now_ms - wall_ms - tolerance_ms, 0);
  const core::TimePoint written_at = now - core::milliseconds(age_ms);
  other_writer_active_at_ =
      std::max(other_writer_active_at_.value_or(written_at), written_at);
}

bool StateFreshness::MayHaveMissedRecords(core::TimePoint now) const {
  const bool is_paused = now > last_tick_at_ + options_.pause_threshold;
  const bool has_other_owner =
      other_writer_active_at_ &&
      now < *other_writer_active_at_ + options_.other_writer_timeout;
  return is_paused || pages_until_current_ > 0 || has_other_owner;
}

bool StateFreshness::HasSettleTimePassed(core::TimePoint now) const {
  return pages_until_current_ == 0 &&
         now >= up_since_ + options_.settle_timeout;
}

}  // namespace wasabi::ledger
