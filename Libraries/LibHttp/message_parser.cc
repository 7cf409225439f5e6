#include "LibHttp/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::http {

namespace {

namespace beast = boost::beast::http;
using beast_view = boost::beast::string_view;

// What the framing of a chunk may take without counting as too much: its size
// in hexadecimal, and two line ends.
constexpr uint64_t kBytesPerChunk = 20;
// HTTP/1.1 as Beast numbers it.
constexpr int kHttp11 = 11;

std::string ToText(beast_view view) {
  return {view.data(), view.size()};
}

ParseResult ToResult(const boost::beast::error_code& ec) {
  if (!ec || ec == beast::error::need_more) {
    return ParseResult::kNeedMore;
  }
  if (ec == beast::error::header_limit) {
    return ParseResult::kHeaderTooLarge;
  }
  if (ec == beast::error::body_limit) {
    return ParseResult::kBodyTooLarge;
  }
  return ParseResult::kMalformed;
}

// Returns true if there is a transfer coding other than "chunked", with which
// the length of the body is ambiguous.
bool HasOtherTransferCoding(const Headers& headers) {
  for (const Headers::Field& field : headers.fields()) {
    if (core::ToLower(field.first) == "transfer-encoding" &&
        core::ToLower(core::Trim(field.second)) != "chunked") {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string_view NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
  }
  return "unknown";
}

BodyFraming MessageHead::framing() const {
  if (is_chunked) {
    return BodyFraming::kChunks;
  }
  return content_length ? BodyFraming::kLength : BodyFraming::kConnectionEnd;
}

// The interface that hides whether a request or a response is parsed.
struct MessageParser::Implementation {
  explicit Implementation(Callbacks callbacks_in)
      : callbacks(std::move(callbacks_in)) {}
  virtual ~Implementation() = default;
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  virtual size_t Put(std::string_view input, boost::beast::error_code& ec) = 0;
  virtual void PutEnd(boost::beast::error_code& ec) = 0;
  virtual bool IsDone() const = 0;
  virtual bool HasHead() const = 0;
  virtual bool HasStarted() const = 0;
  virtual void SkipBody() = 0;

  Callbacks callbacks;
  MessageHead head;
  uint64_t body_bytes = 0;
  uint64_t chunks = 0;
  // Bytes of chunk headers and the trailer that were parsed.
  uint64_t framing_bytes = 0;
};

// Implements the callbacks that beast::basic_parser requires.
template <bool kIsRequest>
struct MessageParser::TypedImplementation : MessageParser::Implementation,
                                            beast::basic_parser<kIsRequest> {
  using Base = beast::basic_parser<kIsRequest>;

  TypedImplementation(const ParserLimits& limits, Callbacks callbacks_in)
      : Implementation(std::move(callbacks_in)) {
    this->header_limit(limits.max_header_bytes);
    this->body_limit(limits.max_body_bytes);
    // One step a call, so that the bytes of the body can be told from those of
    // its framing.
    this->eager(false);
  }

  size_t Put(std::string_view input, boost::beast::error_code& ec) override {
    return Base::put(boost::asio::const_buffer(input.data(), input.size()), ec);
  }
  void PutEnd(boost::beast::error_code& ec) override { Base::put_eof(ec); }
  bool IsDone() const override { return Base::is_done(); }
  bool HasHead() const override { return Base::is_header_done(); }
  bool HasStarted() const override { return Base::got_some(); }
  void SkipBody() override { Base::skip(true); }

  void on_request_impl(beast::verb /*method*/,
                       beast_view method_text,
                       beast_view target,
                       int version,
                       boost::beast::error_code& /*ec*/) override {
    head.is_http_1_0 = version < kHttp11;
    head.method = ToText(method_text);
    head.target = ToText(target);
  }
  void on_response_impl(int code,
                        beast_view /*reason*/,
                        int /*version*/,
                        boost::beast::error_code& /*ec*/) override {
    head.status = code;
  }
  void on_field_impl(beast::field /*name*/,
                     beast_view name_text,
                     beast_view value,
                     boost::beast::error_code& /*ec*/) override {
    head.headers.Add(ToText(name_text), ToText(value));
  }
  void on_header_impl(boost::beast::error_code& ec) override {
    if (HasOtherTransferCoding(head.headers)) {
      ec = beast::error::bad_transfer_encoding;
      return;
    }
    head.is_keep_alive = Base::keep_alive();
    head.is_chunked = Base::chunked();
    if (const auto length = Base::content_length()) {
      head.content_length = *length;
    }
    callbacks.on_head(std::move(head));
    head = MessageHead();
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         boost::beast::error_code& /*ec*/) override {}
  std::size_t on_body_impl(beast_view body,
                           boost::beast::error_code& /*ec*/) override {
    PassOn(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast_view /*extensions*/,
                            boost::beast::error_code& /*ec*/) override {
    ++chunks;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast_view body,
                                 boost::beast::error_code& /*ec*/) override {
    PassOn(body);
    return body.size();
  }
  void on_finish_impl(boost::beast::error_code& /*ec*/) override {}

 private:
  void PassOn(beast_view body) {
    body_bytes += body.size();
    callbacks.on_body({body.data(), body.size()});
  }
};

MessageParser::MessageParser(MessageKind kind,
                             const ParserLimits& limits,
                             Callbacks callbacks)
    : max_framing_bytes_(limits.max_header_bytes) {
  if (kind == MessageKind::kRequest) {
    implementation_ = std::make_unique<TypedImplementation<true>>(
        limits, std::move(callbacks));
  } else {
    implementation_ = std::make_unique<TypedImplementation<false>>(
        limits, std::move(callbacks));
    head_checker_.emplace();
  }
}

MessageParser::~MessageParser() = default;

void MessageParser::ExpectNoBody() {
  implementation_->SkipBody();
}

ParseResult MessageParser::Feed(std::string* input) {
  if (head_checker_ && !implementation_->HasHead() &&
      head_checker_->Check(*input) == AnswerHeadState::kMalformed) {
    return ParseResult::kMalformed;
  }
  size_t consumed = 0;
  ParseResult result = ParseResult::kNeedMore;
  while (!implementation_->IsDone()) {
    const std::string_view rest = std::string_view(*input).substr(consumed);
    if (rest.empty()) {
      break;
    }
    const bool had_head = implementation_->HasHead();
    const uint64_t body_before = implementation_->body_bytes;
    boost::beast::error_code ec;
    const size_t n = implementation_->Put(rest, ec);
    consumed += n;
    if (had_head) {
      implementation_->framing_bytes +=
          n - (implementation_->body_bytes - body_before);
    }
    result = ToResult(ec);
    if (result != ParseResult::kNeedMore || n == 0) {
      break;
    }
  }
  input->erase(0, consumed);
  if (head_checker_) {
    head_checker_->Drop(consumed);
  }
  if (result == ParseResult::kNeedMore && HasTooMuchFraming(input->size())) {
    return ParseResult::kHeaderTooLarge;
  }
  const bool is_complete =
      result == ParseResult::kNeedMore && implementation_->IsDone();
  return is_complete ? ParseResult::kComplete : result;
}

bool MessageParser::HasTooMuchFraming(size_t unparsed_bytes) const {
  if (!implementation_->HasHead()) {
    return false;
  }
  // Bytes that follow the message are not its own.
  const uint64_t pending = implementation_->IsDone() ? 0 : unparsed_bytes;
  return implementation_->framing_bytes + pending >
         max_framing_bytes_ + implementation_->chunks * kBytesPerChunk;
}

bool MessageParser::FinishAtEof() {
  if (implementation_->IsDone()) {
    return true;
  }
  if (!implementation_->HasStarted()) {
    return false;
  }
  boost::beast::error_code ec;
  implementation_->PutEnd(ec);
  return !ec && implementation_->IsDone();
}

bool MessageParser::has_started() const {
  return implementation_->HasStarted();
}

}  // namespace wasabi::http
