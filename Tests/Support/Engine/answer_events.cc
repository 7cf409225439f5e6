#include "Tests/Support/Engine/answer_events.h"

#include <nlohmann/json.hpp>

#include "LibCore/text.h"

namespace wasabi::support {

namespace {

nlohmann::json Chunk(std::string_view request_id,
                     uint32_t index,
                     std::string_view text,
                     const nlohmann::json& finish_reason) {
  const nlohmann::json choice = {{"index", 0},
                                 {"delta", {{"content", text}}},
                                 {"finish_reason", finish_reason}};
  return {{"id", request_id},
          {"object", "chat.completion.chunk"},
          {"index", index},
          {"choices", nlohmann::json::array({choice})}};
}

}  // namespace

std::string ChunkEvent(std::string_view request_id,
                       uint32_t index,
                       std::string_view text) {
  return fmt::format("data: {}\n\n",
                     Chunk(request_id, index, text, nullptr).dump());
}

std::string FinalEvents(std::string_view request_id,
                        uint32_t index,
                        const AnswerUsage& usage) {
  nlohmann::json chunk = Chunk(request_id, index, "", "stop");
  chunk["usage"] = {
      {"prompt_tokens", usage.prompt_tokens},
      {"completion_tokens", usage.completion_tokens},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
  return fmt::format("data: {}\n\ndata: [DONE]\n\n", chunk.dump());
}

}  // namespace wasabi::support
