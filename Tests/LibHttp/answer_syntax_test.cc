// Tests which bytes count as the head of an answer, at each reader of answers.

#include "LibHttp/answer_syntax.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/origin_client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"
#include "Tests/Support/malformed_heads.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(5);
constexpr const char* kId = "Request-Id: id1";
const std::vector<std::string> kFramings = {
    "Content-Length: 2", "Transfer-Encoding: chunked", "Connection: close"};

struct Feeding {
  ParseResult result = ParseResult::kNeedMore;
  int heads = 0;
};

// Parses `text` as a response, in pieces of `step` bytes.
Feeding Feed(const std::string& text, size_t step) {
  Feeding feeding;
  MessageParser::Callbacks callbacks;
  callbacks.on_head = [&feeding](const MessageHead& /*head*/) {
    ++feeding.heads;
  };
  callbacks.on_body = [](std::string_view /*piece*/) {};
  MessageParser parser(MessageKind::kResponse, ParserLimits(),
                       std::move(callbacks));
  std::string input;
  for (size_t i = 0;
       i < text.size() && feeding.result == ParseResult::kNeedMore; i += step) {
    input.append(text, i, step);
    feeding.result = parser.Feed(&input);
  }
  return feeding;
}

TEST_CASE("a malformed head is no answer for the parser") {
  for (const std::string& framing : kFramings) {
    for (const auto& it : support::MalformedHeads(kId, framing)) {
      for (const size_t step : {size_t{1}, size_t{7}, size_t{10000}}) {
        INFO(it.what << ", " << framing << ", in steps of " << step);
        const Feeding feeding = Feed(it.text, step);
        CHECK(feeding.result == ParseResult::kMalformed);
        CHECK(feeding.heads == 0);
      }
    }
  }
}

// A server that answers each request with `answer`, and a loop that stops when
// `done` is set.
struct Exchange {
  explicit Exchange(const std::string& answer)
      : server(&loop, support::FreeAddress(support::LoopbackIp(60))) {
    server.SetAnswer(answer, false);
  }
  void Run() {
    const auto timer = loop.NewTimer([this]() { loop.Stop(); });
    timer->StartOnce(kTestTimeout);
    loop.Run();
  }

  core::EventLoop loop;
  support::RawServer server;
};

// The connection stays open, so an end shows that the client didn't wait.
TEST_CASE("a malformed head ends a call at once") {
  for (const std::string& framing : kFramings) {
    for (const auto& it : support::MalformedHeads(kId, framing)) {
      INFO(it.what << ", " << framing);
      Exchange exchange(it.text + "ok");
      Client client(&exchange.loop);
      std::optional<core::ResultCode> code;
      ClientRequest request;
      request.address = exchange.server.address();
      client.Fetch(request,
                   [&](const absl::StatusOr<ClientResponse>& response) {
                     code = core::CodeOf(response.status());
                     exchange.loop.Stop();
                   });
      exchange.Run();
      REQUIRE(code.has_value());
      CHECK((*code == core::ResultCode::kMalformedAnswer ||
             *code == core::ResultCode::kAnswerTruncated));
    }
  }
}

TEST_CASE("a malformed head ends a forwarded request at once") {
  for (const std::string& framing : kFramings) {
    for (const auto& it : support::MalformedHeads(kId, framing)) {
      for (const char* method : {"GET", "HEAD"}) {
        INFO(it.what << ", " << framing << ", " << method);
        Exchange exchange(it.text + "ok");
        OriginClient client(&exchange.loop);
        OriginRequest request;
        request.address = exchange.server.address();
        request.method = method;
        request.target = std::string("/");
        std::optional<OriginOutcome> end;
        int heads = 0;
        OriginCallbacks callbacks;
        callbacks.on_head = [&heads](const AnswerHead& /*head*/) { ++heads; };
        callbacks.on_end = [&](OriginOutcome outcome) {
          end = outcome;
          exchange.loop.Stop();
        };
        client.Send(request, std::move(callbacks));
        exchange.Run();
        CHECK(end == OriginOutcome::kMalformed);
        CHECK(heads == 0);
      }
    }
  }
}

// A model of RFC 9112, 4 and 5, that shares no code with the reader.
bool IsModelName(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return c > 0x20 && c < 0x7F &&
                  std::string_view("\"(),/:;<=>?@[\\]{}")
                          .find(static_cast<char>(c)) == std::string_view::npos;
         });
}

bool IsModelText(const std::string& text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != 0x09) || c == 0x7F;
  });
}

bool IsModelHead(const std::string& head) {
  std::vector<std::string> lines;
  for (size_t at = 0; at < head.size();) {
    const size_t end = head.find("\r\n", at);
    if (end == std::string::npos) {
      return false;
    }
    lines.push_back(head.substr(at, end - at));
    at = end + 2;
    if (lines.back().empty()) {
      break;
    }
  }
  if (lines.size() < 2 || !lines.back().empty()) {
    return false;
  }
  const std::string& first = lines.front();
  if (first.size() < 13 || first.compare(0, 7, "HTTP/1.") != 0 ||
      (first[7] != '0' && first[7] != '1') || first[8] != ' ' ||
      first[9] < '1' || first[9] > '5' || std::isdigit(first[10]) == 0 ||
      std::isdigit(first[11]) == 0 || first[12] != ' ' ||
      first.substr(9, 3) == "101" || !IsModelText(first.substr(13))) {
    return false;
  }
  return std::all_of(lines.begin() + 1, lines.end() - 1,
                     [](const std::string& line) {
                       const size_t colon = line.find(':');
                       return colon != std::string::npos &&
                              IsModelName(line.substr(0, colon)) &&
                              IsModelText(line.substr(colon + 1));
                     });
}

// Returns `head` with up to three bytes changed, inserted or removed.
std::string Mutated(std::string head, core::RandomSource& random) {
  constexpr std::string_view kBytes("\r\n\t :0\x01\x7F\x80()HA\0", 14);
  const size_t n = random.Below(4);
  for (size_t i = 0; i < n; ++i) {
    const size_t at = random.Below(head.size());
    const char byte = random.Below(2) == 0
                          ? kBytes[random.Below(kBytes.size())]
                          : static_cast<char>(random.Below(256));
    switch (random.Below(3)) {
      case 0:
        head[at] = byte;
        break;
      case 1:
        head.insert(at, 1, byte);
        break;
      default:
        head.erase(at, 1);
    }
  }
  return head;
}

// No field of these heads frames a body, so that only their syntax decides.
TEST_CASE("the parser takes the heads that the model takes") {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nA: b\r\nC-D:e\r\n\r\n",
      "HTTP/1.0 503 \r\nX-Y:  z \r\n\r\n",
      "HTTP/1.1 404 Not Found\r\n\r\n",
  };
  size_t taken = 0;
  size_t refused = 0;
  for (const uint64_t seed : {1, 2, 3, 4}) {
    core::RandomSource random(seed);
    for (int i = 0; i < 20'000; ++i) {
      const std::string text = Mutated(heads[random.Below(3)], random);
      const bool is_head = IsModelHead(text);
      // What follows an incomplete head belongs to it.
      const Feeding feeding = Feed(text, 1 + random.Below(40));
      INFO("seed " << seed << ", head " << i);
      if ((feeding.heads == 1) != is_head) {
        CAPTURE(text);
        CHECK((feeding.heads == 1) == is_head);
      }
      (is_head ? taken : refused) += 1;
    }
  }
  CHECK(taken > 10'000);
  CHECK(refused > 10'000);
}

TEST_CASE("well-formed heads are answers") {
  for (const char* text :
       {"HTTP/1.1 200 \r\n\r\n", "HTTP/1.0 599 any reason\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 caf\xC3\xA9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA:\r\nB: \t\r\nC: d\te\r\n\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: \x80\xFF\r\n\r\n"}) {
    INFO(text);
    CHECK(Feed(text, 1).heads == 1);
  }
}

}  // namespace
}  // namespace wasabi::http
