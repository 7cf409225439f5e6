#include "LibForwarding/origin_recorder.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// Streams that began later than this before all hosts are killed are refused.
constexpr core::Duration kWriteInterval = core::milliseconds(100);
// The store takes 4 ms for an append and makes those to one topic one by one.
// The writers together use half of that time.
constexpr core::Duration kWriteIntervalPerWriter = core::milliseconds(8);
constexpr core::Duration kSlotTime = core::milliseconds(500);
// A record of the store has at most 262,144 bytes, and a stream takes eight.
// While the store accepts no records, this many more streams wait.
constexpr size_t kMaxSlotStreams = 12'000;
constexpr size_t kMaxPendingStreams = 12'000;
constexpr size_t kMaxSequencesPerMessage = 100;

}  // namespace

OriginRecorder::OriginRecorder(core::HostId self,
                               SendFunction send,
                               PutFunction put)
    : self_(std::move(self)), send_(std::move(send)), put_(std::move(put)) {}

void OriginRecorder::Add(const std::vector<OriginStreams>& streams) {
  if (pending_.size() < kMaxPendingStreams) {
    pending_.Add(streams);
  }
}

absl::Status OriginRecorder::OnRequest(const core::HostId& from,
                                       std::string_view body) {
  TRY_ASSIGN(const auto request, core::Decode<RecordOriginsRequest>(body));
  if (pending_.size() < kMaxPendingStreams) {
    pending_.Add(request.origins);
    pending_requests_.push_back({.from = from, .sequence = request.sequence});
  }
  return absl::OkStatus();
}

void OriginRecorder::Tick(core::TimePoint now) {
  const bool is_due = pending_.size() > 0 || is_slot_uncertain_;
  if (is_writing_ || !slot_ || !is_due || now < next_write_at_) {
    return;
  }
  next_write_at_ =
      now + std::max<core::Duration>(
                kWriteInterval,
                kWriteIntervalPerWriter * static_cast<int64_t>(writers_));
  Write(now);
}

void OriginRecorder::Write(core::TimePoint now) {
  if (is_slot_finished_) {
    is_slot_finished_ = false;
    slot_ = (*slot_ + 1) % kSlots;
    slot_streams_ = StreamBatch();
  }
  if (slot_streams_.size() == 0) {
    slot_started_at_ = now;
  }
  if (slot_streams_.size() < kMaxSlotStreams) {
    slot_streams_.Add(std::exchange(pending_, {}).Streams());
    std::move(pending_requests_.begin(), pending_requests_.end(),
              std::back_inserter(written_requests_));
    pending_requests_.clear();
  }
  is_writing_ = true;
  ++writes_;
  put_(SlotKey(self_, *slot_),
       core::Encode(StreamSlotRecord{.origins = slot_streams_.Streams()}),
       [this, now](bool is_certain) { OnWritten(is_certain, now); });
}

void OriginRecorder::OnWritten(bool is_certain, core::TimePoint started_at) {
  is_writing_ = false;
  is_slot_uncertain_ = !is_certain;
  if (!is_certain) {
    return;
  }
  is_slot_finished_ = started_at - slot_started_at_ >= kSlotTime ||
                      slot_streams_.size() >= kMaxSlotStreams;
  Confirm();
}

void OriginRecorder::Confirm() {
  std::map<core::HostId, OriginsRecordedMessage> messages;
  for (const Unconfirmed& it : std::exchange(written_requests_, {})) {
    OriginsRecordedMessage& message = messages[it.from];
    message.sequences.push_back(it.sequence);
    if (message.sequences.size() >= kMaxSequencesPerMessage) {
      send_({it.from}, ApplicationKind::kOriginsRecorded,
            core::Encode(std::exchange(message, {})));
    }
  }
  for (const auto& [host, message] : messages) {
    if (!message.sequences.empty()) {
      send_({host}, ApplicationKind::kOriginsRecorded, core::Encode(message));
    }
  }
}

}  // namespace wasabi::forwarding
