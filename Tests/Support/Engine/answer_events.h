// Formats the server-sent events with which an engine streams its answer; see
// docs/PROTOCOLS.md.

#ifndef TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_
#define TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::support {

// The token counts of the "usage" object in the final chunk.
struct AnswerUsage {
  uint32_t prompt_tokens = 0;
  uint32_t completion_tokens = 0;
  uint32_t cached_tokens = 0;
};

// Returns the event that carries `text` as chunk `index` of the answer.
std::string ChunkEvent(std::string_view request_id,
                       uint32_t index,
                       std::string_view text);

// Returns the event of the final chunk, which carries the usage and has number
// `index`, followed by the [DONE] event.
std::string FinalEvents(std::string_view request_id,
                        uint32_t index,
                        const AnswerUsage& usage);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ANSWER_EVENTS_H_
