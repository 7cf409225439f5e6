#include "Tests/Support/FaultProxy/proxy_server.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

using core::ResultCode;

absl::StatusOr<LinkSpec> LinkSpec::Parse(std::string_view text) {
  const size_t name_end = text.find('=');
  const size_t protocol_end = text.find(':');
  const size_t address_end = text.find('>');
  if (name_end == std::string_view::npos ||
      protocol_end == std::string_view::npos ||
      address_end == std::string_view::npos) {
    return core::MakeStatus(
        ResultCode::kUsage,
        fmt::format(
            "link \"{}\" is not of the form NAME=PROTOCOL:ADDRESS>TARGET",
            text));
  }
  const std::string_view protocol =
      text.substr(name_end + 1, protocol_end - name_end - 1);
  LinkSpec spec;
  spec.name = text.substr(0, name_end);
  spec.is_udp = protocol == "udp";
  TRY_ASSIGN(spec.address,
             core::SocketAddress::Parse(text.substr(
                 protocol_end + 1, address_end - protocol_end - 1)));
  TRY_ASSIGN(spec.target,
             core::SocketAddress::Parse(text.substr(address_end + 1)));
  return spec;
}

absl::StatusOr<std::unique_ptr<ProxyServer>> ProxyServer::Create(
    core::EventLoop* loop,
    const core::SocketAddress& control,
    const std::vector<LinkSpec>& links,
    uint64_t seed) {
  std::unique_ptr<ProxyServer> proxy(new ProxyServer(loop));
  for (const LinkSpec& spec : links) {
    TRY(proxy->Open(spec, seed++));
  }
  http::ServerOptions options;
  options.address = control;
  ProxyServer* it = proxy.get();
  TRY_ASSIGN(
      proxy->server_,
      http::Server::Create(
          loop, options, [it](const std::shared_ptr<http::Exchange>& exchange) {
            it->OnRequest(exchange);
          }));
  return proxy;
}

absl::Status ProxyServer::Open(const LinkSpec& spec, uint64_t seed) {
  Link link;
  link.name = spec.name;
  link.faults = std::make_unique<LinkFaults>(seed);
  if (spec.is_udp) {
    TRY_ASSIGN(link.udp, UdpRelay::Create(loop_, spec.address, spec.target,
                                          link.faults.get()));
  } else {
    TRY_ASSIGN(link.tcp, TcpRelay::Create(loop_, spec.address, spec.target,
                                          link.faults.get()));
  }
  links_.push_back(std::move(link));
  return absl::OkStatus();
}

void ProxyServer::OnRequest(const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& request = exchange->request();
  if (request.method == "GET" && request.path == "/v1/healthz") {
    RespondJson(exchange, kHttpOk, {{"healthy", true}});
    return;
  }
  if (request.method != "POST" || request.path != "/faults") {
    RespondError(exchange, kHttpNotFound, ResultCode::kNoSuchResource,
                 "no handler for this method and path");
    return;
  }
  const nlohmann::json body = ParseObject(request.body);
  const absl::StatusOr<LinkFault> fault = LinkFaultFromJson(body);
  if (!fault.ok()) {
    RespondError(exchange, kHttpBadRequest, ResultCode::kMalformedRequest,
                 core::MessageOf(fault.status()));
    return;
  }
  const std::string name = body.value("link", "*");
  size_t hits = 0;
  for (Link& link : links_) {
    if (name == "*" || name == link.name) {
      Inject(*fault, &link);
      ++hits;
    }
  }
  RespondJson(exchange, hits > 0 ? kHttpOk : kHttpNotFound, {{"links", hits}});
}

void ProxyServer::Inject(const LinkFault& fault, Link* link) {
  if (fault.kind == LinkFaultKind::kCut && link->tcp != nullptr) {
    link->tcp->ResetAll();
  } else if (fault.kind == LinkFaultKind::kHalfOpen && link->tcp != nullptr) {
    link->tcp->StallAll();
  } else {
    link->faults->Inject(fault, loop_->Now());
  }
}

}  // namespace wasabi::support
