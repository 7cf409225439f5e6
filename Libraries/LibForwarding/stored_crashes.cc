#include "LibForwarding/stored_crashes.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

// Number of hosts that read the record when they start and see to it that it is
// written.
constexpr size_t kKeepers = 3;
// Time after a change from which the second host checks the record; the third
// one waits twice as long.
constexpr core::Duration kCheckDelay = core::milliseconds(1200);
// Minimum time between two calls to the platform.
constexpr core::Duration kMinCallInterval = core::seconds(1);
// The ages in the record are brought up to date this often.
constexpr core::Duration kRefreshInterval = core::seconds(30);
// Time by which the crashes of a record count as older at each restart.
constexpr core::Duration kAssumedDowntime = core::seconds(10);
// Limits of a record: refused sets of parts, crashes of each, and parts of
// each. A set of more parts is left out, as a smaller one would refuse more.
constexpr size_t kMaxBlames = 16;
constexpr size_t kMaxCrashes = 8;
constexpr size_t kMaxParts = 64;
// The same for contents of requests; each has the crashes of one request.
constexpr size_t kMaxContents = 64;

template <typename Blame>
bool HasValidCrashes(const Blame& blame) {
  return blame.crash_ids.size() <= kMaxCrashes &&
         blame.crash_ids.size() == blame.ages_milliseconds.size();
}

bool IsValid(const PartBlame& blame) {
  return !blame.parts.empty() && blame.parts.size() <= kMaxParts &&
         HasValidCrashes(blame);
}

bool IsValid(const BlameRecord& record) {
  return record.blames.size() <= kMaxBlames &&
         record.contents.size() <= kMaxContents &&
         std::all_of(record.blames.begin(), record.blames.end(),
                     [](const PartBlame& it) { return IsValid(it); }) &&
         std::all_of(record.contents.begin(), record.contents.end(),
                     HasValidCrashes<ContentBlame>);
}

// Returns the record in `page`; an empty one if there is none. Error:
// kMalformedMessage.
absl::StatusOr<BlameRecord> RecordIn(const platform::KeyedPage& page) {
  const auto it =
      std::find_if(page.records.begin(), page.records.end(),
                   [](const platform::KeyedRecord& record) {
                     return record.key == kBlameKey && record.value.has_value();
                   });
  if (it == page.records.end()) {
    return BlameRecord();
  }
  TRY_ASSIGN(BlameRecord record, core::Decode<BlameRecord>(*it->value));
  if (!IsValid(record)) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        "record of refused parts and contents exceeds its limits");
  }
  return record;
}

}  // namespace

StoredCrashes::StoredCrashes(CrashSuspects* suspects,
                             bool is_first_start,
                             ReadFunction read,
                             WriteFunction write)
    : suspects_(suspects),
      read_(std::move(read)),
      write_(std::move(write)),
      has_read_(is_first_start) {
  if (is_first_start) {
    stored_ = Refused();
  }
}

void StoredCrashes::Tick(std::optional<size_t> rank,
                         platform::LogEpoch epoch,
                         core::TimePoint now) {
  if (!rank || *rank >= kKeepers) {
    rank_ = rank;
    return;
  }
  // Another host may have written meanwhile, or the record may be lost.
  const bool takes_over = rank_ && *rank == 0 && rank_ != rank;
  const bool is_restored = epoch_ != 0 && epoch > epoch_;
  if (takes_over || is_restored) {
    stored_.reset();
  }
  rank_ = rank;
  epoch_ = std::max(epoch_, epoch);
  ScheduleCheck(*rank, now);
  if (is_busy_ || now < next_call_at_) {
    return;
  }
  const bool is_checking = check_at_ && now >= *check_at_;
  if (!has_read_ || (!stored_ && (*rank == 0 || is_checking))) {
    StartRead();
    return;
  }
  if (*rank > 0 && !is_checking) {
    return;
  }
  check_at_.reset();
  if (NeedsWrite(*rank, now)) {
    StartWrite(now);
  }
}

void StoredCrashes::ScheduleCheck(size_t rank, core::TimePoint now) {
  Refused refused = RefusedNow(now);
  if (refused == refused_) {
    return;
  }
  refused_ = std::move(refused);
  if (rank > 0 && !refused_.empty()) {
    stored_.reset();
    check_at_ = now + rank * kCheckDelay;
  }
}

StoredCrashes::Refused StoredCrashes::RefusedNow(core::TimePoint now) const {
  Refused refused;
  for (const RefusedParts& it : suspects_->refused_parts(now)) {
    refused.parts.push_back(it.parts);
  }
  std::sort(refused.parts.begin(), refused.parts.end());
  refused.contents = suspects_->RefusedContents(now);
  return refused;
}

bool StoredCrashes::Refused::Includes(const Refused& other) const {
  return std::includes(parts.begin(), parts.end(), other.parts.begin(),
                       other.parts.end()) &&
         std::includes(contents.begin(), contents.end(), other.contents.begin(),
                       other.contents.end());
}

bool StoredCrashes::NeedsWrite(size_t rank, core::TimePoint now) const {
  if (rank > 0) {
    return !stored_->Includes(refused_);
  }
  return refused_ != *stored_ || (!refused_.empty() && now >= refresh_at_);
}

void StoredCrashes::StartRead() {
  is_busy_ = true;
  read_();
}

void StoredCrashes::StartWrite(core::TimePoint now) {
  BlameRecord record;
  for (PartBlame& it : suspects_->PartBlames(kMaxCrashes, now)) {
    if (record.blames.size() < kMaxBlames && IsValid(it)) {
      record.blames.push_back(std::move(it));
    }
  }
  for (ContentBlame& it : suspects_->ContentBlames(kMaxCrashes, now)) {
    if (record.contents.size() < kMaxContents) {
      record.contents.push_back(std::move(it));
    }
  }
  // What exceeds the limits counts as written too.
  writing_ = refused_;
  is_busy_ = true;
  write_(core::Encode(record));
}

absl::StatusOr<size_t> StoredCrashes::OnRead(
    const absl::StatusOr<platform::KeyedPage>& page,
    core::TimePoint now) {
  is_busy_ = false;
  next_call_at_ = now + kMinCallInterval;
  TRY(page.status());
  next_call_at_ = now;
  const absl::StatusOr<BlameRecord> record = RecordIn(*page);
  stored_ = Refused();
  const bool is_first = !std::exchange(has_read_, true);
  TRY(record.status());
  for (const PartBlame& it : record->blames) {
    stored_->parts.push_back(it.parts);
  }
  for (const ContentBlame& it : record->contents) {
    stored_->contents.push_back(it.content);
  }
  std::sort(stored_->parts.begin(), stored_->parts.end());
  std::sort(stored_->contents.begin(), stored_->contents.end());
  // A later read brings nothing that the other hosts do not know.
  return is_first ? Restore(*record, now) : 0;
}

size_t StoredCrashes::Restore(const BlameRecord& record, core::TimePoint now) {
  size_t restored = record.contents.size();
  for (const PartBlame& it : record.blames) {
    restored += it.parts.size();
    RestoreCrashes({.contents = {}, .parts = it.parts}, it.crash_ids,
                   it.ages_milliseconds, now);
  }
  for (const ContentBlame& it : record.contents) {
    RestoreCrashes({.contents = {it.content}, .parts = {}}, it.crash_ids,
                   it.ages_milliseconds, now);
  }
  return restored;
}

void StoredCrashes::RestoreCrashes(
    const SuspectIds& ids,
    const std::vector<uint64_t>& crash_ids,
    const std::vector<int64_t>& ages_milliseconds,
    core::TimePoint now) {
  for (size_t i = 0; i < crash_ids.size(); ++i) {
    const int64_t age = std::clamp<int64_t>(
        ages_milliseconds[i], 0, core::ToMilliseconds(suspects_->lifetime()));
    suspects_->MergeReport(
        {.crash_id = crash_ids[i],
         .age_milliseconds = age + core::ToMilliseconds(kAssumedDowntime),
         .in_flight = ids,
         .cleared = {}},
        true, now);
  }
}

void StoredCrashes::OnWritten(bool is_written, core::TimePoint now) {
  is_busy_ = false;
  next_call_at_ = now + kMinCallInterval;
  if (is_written) {
    stored_ = writing_;
    refresh_at_ = now + kRefreshInterval;
  }
}

}  // namespace wasabi::forwarding
