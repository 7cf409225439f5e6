// Computes the deterministic answer of the stand-in engine from the content of
// a request. The checker recomputes it to verify what the engine sent.

#ifndef TESTS_SUPPORT_ANSWER_TEXT_H_
#define TESTS_SUPPORT_ANSWER_TEXT_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::support {

// Number of text bytes per token, in prompts and answers.
inline constexpr size_t kBytesPerToken = 4;
// Overhead of each message in tokens, in addition to its text.
inline constexpr uint32_t kTokensPerMessage = 4;

// One message of a chat.
struct ChatMessage {
  std::string role;
  std::string content;

  auto operator<=>(const ChatMessage&) const = default;
};

// Returns the digest of a request's content, which is the canonical JSON dump
// of
// {"messages":…,"model":…} from `body`.
std::string RequestDigest(const nlohmann::json& body);

// Returns the chat messages of `body`. A missing role or content is empty.
std::vector<ChatMessage> MessagesOf(const nlohmann::json& body);

// Returns the number of prompt tokens of `message`.
uint32_t TokensOf(const ChatMessage& message);

// Returns the total number of prompt tokens of `messages`.
uint32_t TokensOf(const std::vector<ChatMessage>& messages);

// Returns the length in tokens of the answer to the request with `digest`:
// `max_tokens`, or a length derived from the digest if `max_tokens` is 0.
uint32_t AnswerLength(std::string_view digest, uint32_t max_tokens);

// Returns token `index` of the answer. Every token has kBytesPerToken bytes.
std::string AnswerToken(std::string_view digest, uint32_t index);

// Returns the complete answer of `length` tokens.
std::string AnswerText(std::string_view digest, uint32_t length);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ANSWER_TEXT_H_
