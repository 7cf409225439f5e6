// An incremental HTTP/1.1 message parser on top of Boost.Beast's parser. It
// does no I/O. Messages with an ambiguous body length are rejected, which
// prevents request smuggling. Heads of responses are checked before
// (answer_syntax.h), line by line as they arrive.

#ifndef LIBHTTP_MESSAGE_PARSER_H_
#define LIBHTTP_MESSAGE_PARSER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHttp/answer_syntax.h"
#include "LibHttp/headers.h"

namespace wasabi::http {

// How a message states where its body ends.
enum class BodyFraming : uint8_t {
  kLength,
  kChunks,
  // Neither a length nor chunks. The body of a response then extends to the end
  // of its connection, so a truncated one can't be told by its framing.
  kConnectionEnd,
};

// Returns the name of `framing` for log entries.
std::string_view NameOf(BodyFraming framing);

// The start line and header fields of a message.
struct MessageHead {
  // Only set for requests.
  std::string method;
  std::string target;
  // The sender knows no chunks.
  bool is_http_1_0 = false;
  // Only set for responses.
  int status = 0;
  Headers headers;
  // True if the sender allows the connection to be reused.
  bool is_keep_alive = true;
  bool is_chunked = false;
  // The value of Content-Length; nullopt if the field is absent.
  std::optional<uint64_t> content_length;

  BodyFraming framing() const;
};

enum class MessageKind : uint8_t { kRequest, kResponse };

// Size limits for one message.
struct ParserLimits {
  // Also the limit of a message's chunk headers and trailer together, besides
  // what the framing of its chunks takes without extensions.
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 4U << 20U;
};

// The state of the parser after a call to MessageParser::Feed.
enum class ParseResult : uint8_t {
  // The message is incomplete; more bytes are needed.
  kNeedMore,
  // The message is complete; the remaining bytes belong to the next message.
  kComplete,
  kMalformed,
  // The header, or the chunk headers and the trailer, exceed
  // ParserLimits::max_header_bytes.
  kHeaderTooLarge,
  // The body exceeds ParserLimits::max_body_bytes.
  kBodyTooLarge,
};

// Parses one message. The next message needs a new parser.
class MessageParser {
 public:
  // Both callbacks run inside Feed and must be set.
  struct Callbacks {
    std::function<void(MessageHead head)> on_head;
    // Receives the next piece of the body, without chunk framing. `piece` is
    // valid only during the call.
    std::function<void(std::string_view piece)> on_body;
  };

  MessageParser(MessageKind kind,
                const ParserLimits& limits,
                Callbacks callbacks);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Declares that the response has no body because it answers a HEAD request.
  void ExpectNoBody();

  // Parses bytes from the front of `input` and erases the consumed ones. The
  // bytes of an incomplete header, chunk header or trailer stay in `input`.
  ParseResult Feed(std::string* input);

  // Signals that the sender closed its side of the connection. Returns true if
  // the message is complete, which includes a response without a declared
  // length, since such a response is delimited by the end of the connection.
  bool FinishAtEof();

  // True once at least one byte of the message was parsed.
  bool has_started() const;

 private:
  // Returns whether chunk headers and the trailer exceed their limit, with
  // `unparsed_bytes` of an incomplete one.
  bool HasTooMuchFraming(size_t unparsed_bytes) const;

  struct Implementation;
  template <bool kIsRequest>
  struct TypedImplementation;

  const uint64_t max_framing_bytes_;
  // Checks the head of a response.
  std::optional<AnswerHeadChecker> head_checker_;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_MESSAGE_PARSER_H_
