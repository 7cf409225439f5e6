// The server-sent events of an engine's answer; see docs/PROTOCOLS.md.

#ifndef TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_
#define TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::support {

// The numbers of the "usage" object.
struct AnswerUsage {
  uint32_t prompt_tokens = 0;
  uint32_t completion_tokens = 0;
  uint32_t cached_tokens = 0;
};

// The event of chunk `index` with its text.
std::string ChunkEvent(std::string_view request_id,
                       uint32_t index,
                       std::string_view text);

// The last chunk with the usage, then the end marker.
std::string FinalEvents(std::string_view request_id,
                        uint32_t index,
                        const AnswerUsage& usage);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_
