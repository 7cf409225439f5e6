// Checks and cuts up the server-sent events of an engine's answer.

#ifndef SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_
#define SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace wasabi::router {

// An answer is bound to one request: every chunk names it, and chunk indices
// count up without gaps. Repeated chunks are dropped; a gap or a foreign chunk
// is an error. The answer is whole only after its finish chunk and end marker.
// Without `is_bound`, which only tests switch off, any chunk is passed on.
class EngineStreamParser {
 public:
  using ChunkCallback =
      std::function<void(uint32_t index, std::string_view payload)>;

  EngineStreamParser(std::string request_id,
                     uint32_t first_index,
                     bool is_bound,
                     ChunkCallback on_chunk);

  // Takes the next piece of the body. kCrossedAnswer for a foreign chunk,
  // kAnswerCut for a gap, a malformed event or an error event.
  absl::Status Feed(std::string_view bytes);

  // True after the finish chunk and the end marker.
  bool is_whole() const {
    return !is_bound_ || (has_finish_chunk_ && has_end_marker_);
  }
  uint32_t next_index() const { return next_index_; }

 private:
  absl::Status OnEvent(std::string_view data);
  absl::Status OnChunk(std::string_view data);

  std::string request_id_;
  uint32_t next_index_;
  bool is_bound_;
  ChunkCallback on_chunk_;
  std::string buffer_;
  bool has_finish_chunk_ = false;
  bool has_end_marker_ = false;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_
