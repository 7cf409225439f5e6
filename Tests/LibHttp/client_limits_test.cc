// Tests what Client makes of responses that have no end, or none that is
// stated.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(10);
constexpr uint64_t kMaxBodyBytes = 100'000;

struct LimitCase {
  const char* what;
  std::string answer;
  // True if the server closes the connection after the answer.
  bool closes;
  core::ResultCode code;
  // Only used with kOk.
  bool is_delimited;
};

std::string Repeated(const std::string& piece, size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += piece;
  }
  return text;
}

TEST_CASE("a response without a stated or reasonable end is told apart") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const size_t endless = 1U << 20U;
  const LimitCase cases[] = {
      {"a length", ok + "Content-Length: 2\r\n\r\nok", false,
       core::ResultCode::kOk, true},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       false, core::ResultCode::kOk, true},
      {"no content", "HTTP/1.1 204 X\r\n\r\n", false, core::ResultCode::kOk,
       true},
      {"neither a length nor chunks", ok + "\r\nok", true,
       core::ResultCode::kOk, false},
      {"a truncated length", ok + "Content-Length: 9\r\n\r\nok", true,
       core::ResultCode::kAnswerTruncated, false},
      {"truncated chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       true, core::ResultCode::kAnswerTruncated, false},
      {"a status line that breaks off", "HTTP/1.1 200", true,
       core::ResultCode::kAnswerTruncated, false},
      {"a head that breaks off after its status line", ok, true,
       core::ResultCode::kAnswerTruncated, false},
      {"a head that breaks off inside a field", ok + "Content-", true,
       core::ResultCode::kAnswerTruncated, false},
      {"a head that breaks off after a field", ok + "A: b\r\n", true,
       core::ResultCode::kAnswerTruncated, false},
      {"a head that breaks off after a length", ok + "Content-Length: 0\r\n",
       true, core::ResultCode::kAnswerTruncated, false},
      {"a head that breaks off after an interim one",
       "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + ok, true,
       core::ResultCode::kAnswerTruncated, false},
      {"an interim head alone", "HTTP/1.1 103 X\r\nA: b\r\n\r\n", true,
       core::ResultCode::kAnswerTruncated, false},
      {"endless headers", ok + Repeated("A: b\r\n", endless), false,
       core::ResultCode::kMalformedAnswer, false},
      {"endless interim responses",
       Repeated("HTTP/1.1 102 Processing\r\n\r\n", endless), false,
       core::ResultCode::kMalformedAnswer, false},
      {"an endless chunk size", chunked + std::string(endless, '0'), false,
       core::ResultCode::kAnswerTruncated, false},
      {"an endless field of a trailer",
       chunked + "0\r\nX: " + std::string(endless, 'x'), false,
       core::ResultCode::kAnswerTruncated, false},
      {"endless fields of a trailer",
       chunked + "0\r\n" + Repeated("A: b\r\n", endless), false,
       core::ResultCode::kMalformedAnswer, false},
      {"an endless body", ok + "\r\n" + std::string(endless, 'x'), false,
       core::ResultCode::kMalformedAnswer, false},
  };
  for (const LimitCase& row : cases) {
    INFO(row.what);
    core::EventLoop loop;
    support::RawServer server(&loop,
                              support::FreeAddress(support::LoopbackIp(3)));
    server.SetAnswer(row.answer, row.closes);
    Client client(&loop);
    ClientRequest request;
    request.address = server.address();
    request.max_body_bytes = kMaxBodyBytes;
    std::optional<absl::StatusOr<ClientResponse>> result;
    client.Fetch(request, [&](absl::StatusOr<ClientResponse> response) {
      result = std::move(response);
      loop.Stop();
    });
    const auto timer = loop.NewTimer([&loop]() { loop.Stop(); });
    timer->StartOnce(kTestTimeout);
    loop.Run();
    REQUIRE(result.has_value());
    CHECK(core::CodeOf(result->status()) == row.code);
    if (result->ok()) {
      CHECK((*result)->IsDelimited() == row.is_delimited);
    }
  }
}

// Guards against many endless bodies, each below its limit, that fill the
// memory together.
TEST_CASE("fetched bodies are limited together") {
  constexpr size_t kCalls = 10;
  core::EventLoop loop;
  support::RawServer server(&loop,
                            support::FreeAddress(support::LoopbackIp(3)));
  server.SetAnswer("HTTP/1.1 200 OK\r\n\r\n" + std::string(60'000, 'x'), false);
  Client client(&loop, 2 * kMaxBodyBytes);
  ClientRequest request;
  request.address = server.address();
  request.max_body_bytes = kMaxBodyBytes;
  request.total_timeout = core::seconds(1);
  size_t ended = 0;
  size_t oversized = 0;
  for (size_t i = 0; i < kCalls; ++i) {
    client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
      oversized +=
          core::CodeOf(response.status()) == core::ResultCode::kMalformedAnswer
              ? 1
              : 0;
      if (++ended == kCalls) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  CHECK(oversized >= kCalls - 3);
  // What has ended counts no more.
  server.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  absl::StatusOr<ClientResponse> result = absl::UnknownError("no response");
  client.Fetch(request, [&](absl::StatusOr<ClientResponse> response) {
    result = std::move(response);
    loop.Stop();
  });
  loop.Run();
  CHECK(result.ok());
}

}  // namespace
}  // namespace wasabi::http
