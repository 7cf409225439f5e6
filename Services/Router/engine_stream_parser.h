// Parses and validates the server-sent events of an engine's answer.

#ifndef SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_
#define SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace wasabi::router {

// Every chunk of an answer must carry the request id and consecutive indices.
// Repeated chunks are dropped; a gap or a chunk of another request is an error.
// The answer is complete after both its finish chunk and its end marker.
// Without `is_bound`, which only tests disable, the parser passes every chunk
// on unchecked.
class EngineStreamParser {
 public:
  using ChunkCallback =
      std::function<void(uint32_t index, std::string_view payload)>;

  // `first_index` is the index of the first expected chunk. `on_chunk` is
  // called from Feed.
  EngineStreamParser(std::string request_id,
                     uint32_t first_index,
                     bool is_bound,
                     ChunkCallback on_chunk);

  // Parses the next bytes of the response body. Returns kMismatchedAnswer for a
  // chunk of another request or data after the end marker, and kAnswerTruncated
  // for a gap, a malformed event, an error event, or too many bytes without a
  // new chunk.
  absl::Status Feed(std::string_view bytes);

  // Returns true after the finish chunk and the end marker.
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
  // Bytes since the last new chunk.
  size_t bytes_without_chunk_ = 0;
  bool has_finish_chunk_ = false;
  bool has_end_marker_ = false;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ENGINE_STREAM_PARSER_H_
