#include "LibLedger/stream_start.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibLedger/ledger_record.h"

namespace wasabi::ledger {

namespace {

using platform::LogPage;
using platform::LogRecord;
using platform::Offset;

// Each halving of the range costs one read, so a range of at most this many
// records is applied without further search.
constexpr Offset kMaxUnsearchedRecords = 1000;

}  // namespace

void StreamStartFinder::Find(platform::LogClient* client,
                             const std::string& stream,
                             int64_t cutoff_ms,
                             Callback callback) {
  const std::shared_ptr<StreamStartFinder> it(
      new StreamStartFinder(client, stream, cutoff_ms, std::move(callback)));
  client->Bounds(stream, [it](const absl::StatusOr<LogPage>& page) {
    it->OnBounds(page);
  });
}

StreamStartFinder::StreamStartFinder(platform::LogClient* client,
                                     std::string stream,
                                     int64_t cutoff_ms,
                                     Callback callback)
    : client_(client),
      stream_(std::move(stream)),
      cutoff_ms_(cutoff_ms),
      callback_(std::move(callback)) {}

void StreamStartFinder::OnBounds(const absl::StatusOr<LogPage>& page) {
  if (!page.ok()) {
    callback_(page.status());
    return;
  }
  low_ = page->first_retained;
  end_ = page->end;
  high_ = end_;
  NarrowRange();
}

void StreamStartFinder::NarrowRange() {
  if (high_ - low_ <= kMaxUnsearchedRecords) {
    callback_(StreamStart{low_, end_});
    return;
  }
  const Offset middle = low_ + (high_ - low_) / 2;
  client_->Read(
      stream_, middle, core::Duration::zero(),
      [it = shared_from_this(), middle](const absl::StatusOr<LogPage>& page) {
        it->OnMidpoint(middle, page);
      });
}

void StreamStartFinder::OnMidpoint(Offset middle,
                                   const absl::StatusOr<LogPage>& page) {
  if (!page.ok()) {
    callback_(page.status());
    return;
  }
  if (page->records.empty()) {
    callback_(
        core::MakeStatus(core::ResultCode::kLogWentBackwards,
                         "log stream ended before its previously known end"));
    return;
  }
  if (IsBeforeCutoff(page->records.front())) {
    low_ = middle + 1;
  } else {
    high_ = middle;
  }
  NarrowRange();
}

bool StreamStartFinder::IsBeforeCutoff(const LogRecord& record) const {
  const absl::StatusOr<LedgerGroup> group = DecodeGroup(record.body);
  // A record that cannot be decoded counts as recent, so that no valid record
  // is skipped.
  return group.ok() && group->wall_ms < cutoff_ms_;
}

}  // namespace wasabi::ledger
