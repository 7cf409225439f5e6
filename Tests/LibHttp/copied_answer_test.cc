// Guards against an answer that a server writes again, on a connection that
// Client keeps, and that is taken for the answer to the next call, whose own
// answer then passes for that to the call after it: libcurl matches answers by
// their order alone.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibHttp/client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(3);
constexpr core::Duration kLater = core::milliseconds(30);

enum class When : uint8_t {
  kNever,
  // In one packet with the answer that it copies.
  kWithFirst,
  // While the connection is idle, and the client's loop runs.
  kWhileIdle,
  // While the connection is idle, and the client's loop doesn't run before the
  // next call.
  kJustBefore,
  // In answer to the next call, in one packet with its answer.
  kWithNext,
  // In answer to the next call, whose own answer follows later.
  kBeforeNext,
};

std::string Answer(const std::string& body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

struct CopyCase {
  const char* what;
  When when;
  // The bodies that the second and the third call get.
  const char* second;
  const char* third;
  size_t connections;
};

std::string Fetch(core::EventLoop& loop,
                  Client& client,
                  const core::SocketAddress& address,
                  const std::string& target) {
  ClientRequest request;
  request.address = address;
  request.target = target;
  request.total_timeout = kTestTimeout;
  std::string body = "no answer";
  client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
    if (response.ok()) {
      body = response->body;
    }
    loop.Stop();
  });
  loop.Run();
  return body;
}

void RunFor(core::EventLoop& loop, core::Duration time) {
  const auto timer = loop.NewTimer([&loop] { loop.Stop(); });
  timer->StartOnce(time);
  loop.Run();
}

// Answers a request with its target, and writes the answer to "/1" again.
class CopyingServer {
 public:
  CopyingServer(core::EventLoop* loop, When when)
      : loop_(loop),
        when_(when),
        server_(loop, support::FreeAddress(support::LoopbackIp(3))) {
    server_.SetResponder([this](const std::string& text) {
      const size_t begin = text.find('/');
      return Respond(text.substr(begin, text.find(' ', begin) - begin));
    });
  }

  support::RawServer& server() { return server_; }

 private:
  std::string Respond(const std::string& target) {
    if (target == "/1" && when_ == When::kWithFirst) {
      return Answer("/1") + Answer("/1");
    }
    if (target == "/2" && when_ == When::kWithNext) {
      return Answer("/1") + Answer("/2");
    }
    if (target == "/2" && when_ == When::kBeforeNext) {
      later_ = loop_->NewTimer([this] { server_.WriteToAll(Answer("/2")); });
      later_->StartOnce(kLater);
      return Answer("/1");
    }
    return Answer(target);
  }

  core::EventLoop* const loop_;
  const When when_;
  support::RawServer server_;
  std::unique_ptr<core::Timer> later_;
};

TEST_CASE("an answer that comes again is not the answer to the next call") {
  const CopyCase cases[] = {
      {"never", When::kNever, "/2", "/3", 1},
      {"with the first answer", When::kWithFirst, "/2", "/3", 2},
      {"while idle", When::kWhileIdle, "/2", "/3", 2},
      {"just before the next call", When::kJustBefore, "/2", "/3", 2},
      // Only its content can tell that it answers another call. The calls after
      // it get their own answers.
      {"with the next answer", When::kWithNext, "/1", "/3", 2},
      {"before the next answer", When::kBeforeNext, "/1", "/3", 2},
  };
  for (const CopyCase& row : cases) {
    INFO(row.what);
    core::EventLoop loop;
    CopyingServer copying(&loop, row.when);
    support::RawServer& server = copying.server();
    Client client(&loop);
    CHECK(Fetch(loop, client, server.address(), "/1") == "/1");
    if (row.when == When::kWhileIdle || row.when == When::kJustBefore) {
      server.WriteToAll(Answer("/1"));
    }
    if (row.when == When::kWhileIdle) {
      RunFor(loop, 2 * kLater);
    }
    CHECK(Fetch(loop, client, server.address(), "/2") == row.second);
    RunFor(loop, 2 * kLater);
    CHECK(Fetch(loop, client, server.address(), "/3") == row.third);
    CHECK(server.accepted() == row.connections);
  }
}

}  // namespace
}  // namespace wasabi::http
