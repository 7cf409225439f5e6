// Tests which answers of services count as complete outcomes of calls.

#include "Services/Router/service_caller.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/result_code.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::router {
namespace {

struct AnswerCase {
  const char* what;
  std::string answer;
  core::ResultCode code;
};

TEST_CASE("an answer that only its connection delimits is no outcome") {
  const AnswerCase cases[] = {
      {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
       core::ResultCode::kOk},
      {"chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nok\r\n0\r\n\r\n",
       core::ResultCode::kOk},
      {"neither a length nor chunks", "HTTP/1.1 200 OK\r\n\r\nok",
       core::ResultCode::kAnswerTruncated},
  };
  for (const AnswerCase& row : cases) {
    INFO(row.what);
    core::EventLoop loop;
    support::RawServer server(&loop,
                              support::FreeAddress(support::LoopbackIp(4)));
    server.SetAnswer(row.answer, true);
    http::Client client(&loop);
    core::EventRing events("test", 100);
    EndpointDirectory directory;
    platform::ListedHost host;
    host.id = std::string("service-1");
    host.kind = platform::HostKind::kService;
    host.pool = core::PoolId("p");
    host.address = server.address();
    directory.SetHostList({.version = 1, .hosts = {host}});
    ServiceCaller caller(&loop, &client, &events, &directory);
    std::optional<core::ResultCode> code;
    ServiceCall call;
    call.pool = host.pool;
    call.path = std::string("/call");
    call.request_id = std::string("request-1");
    call.deadline = loop.Now() + core::seconds(5);
    caller.Call(call,
                [&](const absl::StatusOr<http::ClientResponse>& response) {
                  code = core::CodeOf(response.status());
                  loop.Stop();
                });
    loop.Run();
    CHECK(code == row.code);
  }
}

}  // namespace
}  // namespace wasabi::router
