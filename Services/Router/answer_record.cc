#include "Services/Router/answer_record.h"

#include "LibCore/result_code.h"

namespace wasabi::router {

void AnswerRecord::Append(std::string_view payload) {
  if (is_finished()) {
    return;
  }
  const uint32_t index = next_index();
  chunks_.emplace_back(payload);
  bytes_ += payload.size();
  for (const auto& listener : LiveListeners()) {
    listener->OnAnswerChunk(index, payload);
  }
}

void AnswerRecord::Finish(const absl::Status& status) {
  if (is_finished()) {
    return;
  }
  end_ = status;
  for (const auto& listener : LiveListeners()) {
    listener->OnAnswerDone(status);
  }
  listeners_.clear();
}

absl::Status AnswerRecord::Listen(
    uint32_t offset,
    const std::shared_ptr<AnswerListener>& listener) {
  if (offset < first_index_ || offset > next_index()) {
    return core::MakeStatus(
        core::ResultCode::kOffsetNotKept,
        "the requested offset is not stored in the answer record");
  }
  for (uint32_t index = offset; index < next_index(); ++index) {
    listener->OnAnswerChunk(index, chunks_[index - first_index_]);
  }
  if (end_) {
    listener->OnAnswerDone(*end_);
    return absl::OkStatus();
  }
  listeners_.push_back(listener);
  return absl::OkStatus();
}

std::vector<std::shared_ptr<AnswerListener>> AnswerRecord::LiveListeners() {
  std::vector<std::shared_ptr<AnswerListener>> live;
  live.reserve(listeners_.size());
  for (const auto& it : listeners_) {
    if (std::shared_ptr<AnswerListener> listener = it.lock()) {
      live.push_back(std::move(listener));
    }
  }
  if (live.size() != listeners_.size()) {
    listeners_.assign(live.begin(), live.end());
  }
  return live;
}

}  // namespace wasabi::router
