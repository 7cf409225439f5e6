// An incremental HTTP/1.1 parser over Boost.Beast's, without any I/O. It is
// strict: a message whose length can be read in two ways is an error, so that
// no request can hide inside another.

#ifndef LIBHTTP_MESSAGE_PARSER_H_
#define LIBHTTP_MESSAGE_PARSER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHttp/headers.h"

namespace wasabi::http {

// The start line and header fields of a message.
struct MessageHead {
  // Of a request.
  std::string method;
  std::string target;
  // Of a response.
  int status = 0;
  Headers headers;
  // Whether the sender lets the connection be used again.
  bool is_keep_alive = true;
  bool is_chunked = false;
  // The declared length of the body; nullopt where there is none.
  std::optional<uint64_t> content_length;
};

enum class MessageKind : uint8_t { kRequest, kResponse };

struct ParserLimits {
  // In bytes.
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 4U << 20U;
};

enum class ParseResult : uint8_t {
  // More bytes are needed.
  kMore,
  // The message is complete; further bytes belong to the next one.
  kComplete,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

class MessageParser {
 public:
  struct Callbacks {
    std::function<void(MessageHead head)> on_head;
    // A piece of the body, without chunk framing.
    std::function<void(std::string_view piece)> on_body;
  };

  MessageParser(MessageKind kind,
                const ParserLimits& limits,
                Callbacks callbacks);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // The next response answers a HEAD request and has no body.
  void ExpectNoBody();

  // Parses the front of `input` and removes what was consumed. Bytes of an
  // incomplete header stay in `input`.
  ParseResult Feed(std::string* input);

  // The sender closed its side. True when that completes the message: a
  // response without a length ends with its connection.
  bool FinishAtEnd();

  // At least one byte of the message has been seen.
  bool has_started() const;

 private:
  struct Implementation;
  template <bool kIsRequest>
  struct TypedImplementation;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_MESSAGE_PARSER_H_
