// The deterministic answer of the stand-in engine. The engine and the checker
// compute it independently of each other from the request's content.

#ifndef TESTS_SUPPORT_ANSWER_TEXT_H_
#define TESTS_SUPPORT_ANSWER_TEXT_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::support {

// Bytes of text that count as one token, in prompts and in answers.
inline constexpr size_t kBytesPerToken = 4;
// Tokens that each message costs beyond its text.
inline constexpr uint32_t kTokensPerMessage = 4;

// One message of a chat.
struct ChatMessage {
  std::string role;
  std::string content;

  auto operator<=>(const ChatMessage&) const = default;
};

// The digest of a request's content: of the canonical JSON dump of
// {"messages":…,"model":…} of `body`.
std::string RequestDigest(const nlohmann::json& body);

// The messages of `body` that have a role and a content.
std::vector<ChatMessage> MessagesOf(const nlohmann::json& body);

// The prompt tokens that `message` takes.
uint32_t TokensOf(const ChatMessage& message);

// The prompt tokens of all `messages`.
uint32_t TokensOf(const std::vector<ChatMessage>& messages);

// The tokens of the answer to the request with `digest`: `max_tokens`, or a
// length that follows from the digest where `max_tokens` is 0.
uint32_t AnswerLength(std::string_view digest, uint32_t max_tokens);

// Token `index` of the answer; every token has kBytesPerToken bytes.
std::string AnswerToken(std::string_view digest, uint32_t index);

// The whole answer of `length` tokens.
std::string AnswerText(std::string_view digest, uint32_t length);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ANSWER_TEXT_H_
