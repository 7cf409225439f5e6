#include "LibLedger/stream_start.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibLedger/ledger_record.h"

namespace wasabi::ledger {

namespace {

using platform::LogPage;
using platform::LogRecord;
using platform::Offset;

// Searching costs a read for each halving, so that it isn't worth it for less.
constexpr Offset kShortStream = 1000;

}  // namespace

void StreamStartFinder::Find(platform::LogClient* client,
                             const std::string& stream,
                             int64_t oldest_ms,
                             Callback callback) {
  const std::shared_ptr<StreamStartFinder> it(
      new StreamStartFinder(client, stream, oldest_ms, std::move(callback)));
  client->Bounds(stream, [it](const absl::StatusOr<LogPage>& page) {
    it->OnBounds(page);
  });
}

StreamStartFinder::StreamStartFinder(platform::LogClient* client,
                                     std::string stream,
                                     int64_t oldest_ms,
                                     Callback callback)
    : client_(client),
      stream_(std::move(stream)),
      oldest_ms_(oldest_ms),
      callback_(std::move(callback)) {}

void StreamStartFinder::OnBounds(const absl::StatusOr<LogPage>& page) {
  if (!page.ok()) {
    callback_(page.status());
    return;
  }
  low_ = page->first_kept;
  end_ = page->end;
  high_ = end_;
  Narrow();
}

void StreamStartFinder::Narrow() {
  if (high_ - low_ <= kShortStream) {
    callback_(StreamStart{low_, end_});
    return;
  }
  const Offset middle = low_ + (high_ - low_) / 2;
  client_->Read(
      stream_, middle, core::Duration::zero(),
      [it = shared_from_this(), middle](const absl::StatusOr<LogPage>& page) {
        it->OnMiddle(middle, page);
      });
}

void StreamStartFinder::OnMiddle(Offset middle,
                                 const absl::StatusOr<LogPage>& page) {
  if (!page.ok()) {
    callback_(page.status());
    return;
  }
  if (page->records.empty()) {
    callback_(core::MakeStatus(core::ResultCode::kLogWentBackwards,
                               "the stream ends before its known end"));
    return;
  }
  if (IsOld(page->records.front())) {
    low_ = middle + 1;
  } else {
    high_ = middle;
  }
  Narrow();
}

bool StreamStartFinder::IsOld(const LogRecord& record) const {
  const absl::StatusOr<LedgerGroup> group = DecodeGroup(record.body);
  // What can't be read counts as recent, so that more is folded.
  return group.ok() && group->wall_ms < oldest_ms_;
}

}  // namespace wasabi::ledger
