// Buffers the chunks of one answer while it is being generated and forwards
// them to listeners.

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

// Receives the chunks and the end of an answer, on the event loop.
class AnswerListener {
 public:
  virtual ~AnswerListener() = default;
  // Receives chunk `index`; indices are consecutive and start at the offset
  // passed to AnswerRecord::Listen.
  virtual void OnAnswerChunk(uint32_t index, std::string_view payload) = 0;
  // Called once, after the last chunk. `status` is OK for a complete answer.
  virtual void OnAnswerDone(const absl::Status& status) = 0;
};

// Stores an answer from one chunk index on and replays it to listeners that
// subscribe late. Not thread-safe.
class AnswerRecord {
 public:
  // `first_index` is the index of the first chunk that the record stores;
  // `content_digest` is the digest of the request content.
  AnswerRecord(uint32_t first_index, uint64_t content_digest)
      : first_index_(first_index), content_digest_(content_digest) {}

  // Appends the next chunk and notifies the listeners. Has no effect after
  // Finish.
  void Append(std::string_view payload);

  // Ends the answer with `status` and notifies the listeners. Later calls have
  // no effect.
  void Finish(const absl::Status& status);

  // Replays the stored chunks from chunk index `offset` on, then subscribes
  // `listener` until the answer ends. The record holds only a weak reference,
  // so the caller keeps `listener` alive. Returns kOffsetNotKept if `offset`
  // lies before the first stored chunk or after the next one.
  absl::Status Listen(uint32_t offset,
                      const std::shared_ptr<AnswerListener>& listener);

  // Returns the index of the next chunk to be appended.
  uint32_t next_index() const {
    return first_index_ + static_cast<uint32_t>(chunks_.size());
  }
  uint32_t first_index() const { return first_index_; }
  const std::vector<std::string>& chunks() const { return chunks_; }
  // Returns the total payload size, in bytes.
  size_t bytes() const { return bytes_; }
  bool is_finished() const { return end_.has_value(); }
  bool has_failed() const { return end_.has_value() && !end_->ok(); }
  uint64_t content_digest() const { return content_digest_; }

 private:
  // Returns the listeners that still exist and removes the others.
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
