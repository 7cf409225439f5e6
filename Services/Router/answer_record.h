// One answer as it grows: its chunks, its end, and who listens.

#ifndef SERVICES_ROUTER_ANSWER_RECORD_H_
#define SERVICES_ROUTER_ANSWER_RECORD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/time.h"
#include "absl/status/status.h"

namespace wasabi::router {

// Hears the chunks and the end of an answer.
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  virtual void OnAnswerChunk(uint32_t index, std::string_view payload) = 0;
  virtual void OnAnswerDone(const absl::Status& status) = 0;
};

class AnswerRecord {
 public:
  // `first_index` is the index of the first chunk that the record holds;
  // `content_digest` is that of the request.
  AnswerRecord(uint32_t first_index, uint64_t content_digest)
      : first_index_(first_index), content_digest_(content_digest) {}

  // Appends the next chunk and tells the listeners.
  void Append(std::string_view payload);

  // Ends the answer; later calls have no effect.
  void Finish(const absl::Status& status);

  // Replays what is held from chunk `offset` on, then keeps `listener` informed
  // for as long as it lives. kOffsetNotKept when `offset` is before the first
  // chunk held or past the next one.
  absl::Status Listen(uint32_t offset,
                      const std::shared_ptr<AnswerListener>& listener);

  // Index that the next chunk will have.
  uint32_t next_index() const {
    return first_index_ + static_cast<uint32_t>(chunks_.size());
  }
  uint32_t first_index() const { return first_index_; }
  const std::vector<std::string>& chunks() const { return chunks_; }
  size_t bytes() const { return bytes_; }
  bool is_finished() const { return end_.has_value(); }
  bool has_failed() const { return end_.has_value() && !end_->ok(); }
  uint64_t content_digest() const { return content_digest_; }

 private:
  std::vector<std::shared_ptr<AnswerListener>> LiveListeners();

  uint32_t first_index_;
  uint64_t content_digest_;
  std::vector<std::string> chunks_;
  size_t bytes_ = 0;
  std::optional<absl::Status> end_;
  std::vector<std::weak_ptr<AnswerListener>> listeners_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ANSWER_RECORD_H_
