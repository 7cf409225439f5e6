#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

#include <catch2/catch.hpp>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/linked_records.h"
#include "Tests/Support/free_address.h"
#include "platform/adapters.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kTestTimeout = core::seconds(10);
// A reset discards what its receiver has not read.
constexpr core::Duration kResetDelay = core::milliseconds(30);

constexpr const char* kConfiguration = R"({"version":1,"routes":[
  {"name":"safe","hostname":"a.test","path_prefix":"/safe/","kind":"safe",
   "timeout_ms":2000,"target_latency_ms":100,"attempts":2,"service":"p"},
  {"name":"unsafe","hostname":"a.test","path_prefix":"/unsafe/",
   "kind":"unsafe","timeout_ms":2000,"target_latency_ms":100,"attempts":1,
   "service":"p"},
  {"name":"resumable","hostname":"a.test","path_prefix":"/resumable/",
   "kind":"streaming","resumable":true,"timeout_ms":2000,
   "target_latency_ms":100,"attempts":2,"service":"p","gap_aim_ms":300},
  {"name":"once","hostname":"a.test","path_prefix":"/once/",
   "kind":"streaming","resumable":false,"timeout_ms":2000,
   "target_latency_ms":100,"attempts":1,"service":"p","gap_aim_ms":300},
  {"name":"short","hostname":"a.test","path_prefix":"/short/","kind":"unsafe",
   "timeout_ms":200,"target_latency_ms":100,"attempts":1,"service":"p"},
  {"name":"empty","hostname":"a.test","path_prefix":"/empty/","kind":"unsafe",
   "timeout_ms":400,"target_latency_ms":100,"attempts":1,"service":"q"},
  {"name":"chats","hostname":"a.test","path_prefix":"/chats/","kind":"unsafe",
   "timeout_ms":2000,"target_latency_ms":100,"attempts":1,"sticky":true,
   "service":"m"}],
 "services":[{"name":"p"},{"name":"q"},{"name":"m","engine":{"slots":8}}],
 "tenants":[{"name":"t1","api_keys":["k1"]}]})";

}  // namespace

std::string ScriptedAnswer(int status,
                           const std::string& fields,
                           const std::string& body) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nRequest-Id: id1\r\n{}Content-Length: {}\r\n\r\n{}",
      status, fields, body.size(), body);
}

std::string ScriptedSuccess(const std::string& body) {
  return ScriptedAnswer(200, "Response-Signature: s\r\n", body);
}

std::string ChunkedStreamStart(const std::string& events,
                               const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 X\r\nRequest-Id: {}\r\nResponse-Signature: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
      "{:x}\r\n{}\r\n",
      id, events.size(), events);
}

std::string UnframedStreamStart(const std::string& events) {
  return fmt::format(
      "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n{}",
      events);
}

ForwarderFixture::ForwarderFixture(const FixtureOptions& options)
    : scheduler(&loop),
      first(&loop, FreeAddress(LoopbackIp(10))),
      second(&loop, FreeAddress(LoopbackIp(11))),
      client(&loop),
      retries_(options.retries) {
  for (RawServer* server : {&first, &second}) {
    server->SetResponder([this, server](const std::string& text) {
      return Respond(server, text);
    });
  }
  Start(options);
}

forwarder::ForwarderSettings ForwarderFixture::NewSettings(
    const std::string& host,
    const std::string& ip) const {
  const auto free = [&ip]() { return FreeAddress(ip); };
  forwarder::ForwarderSettings settings;
  settings.host = core::HostId(host);
  settings.data_centre = core::DataCentreId("z1");
  settings.callers_address = free();
  settings.ready_address = free();
  settings.discovery_address = free();
  settings.gossip_address = free();
  settings.internal_address = free();
  settings.platform_address = free();
  settings.leaving_bound = core::seconds(2);
  settings.configuration_bound = core::seconds(2);
  settings.shutdown_grace = shutdown_grace;
  settings.max_address_lifetime = core::milliseconds(100);
  settings.retries = retries_;
  settings.load_bound = 2;
  settings.event_capacity = 1000;
  return settings;
}

std::unique_ptr<forwarder::ForwarderDaemon> ForwarderFixture::NewDaemon(
    const forwarder::ForwarderSettings& daemon_settings,
    const EndpointLinkMap* daemon_links,
    FakeTopicClient** topics) {
  auto created = forwarder::ForwarderDaemon::Create(
      &loop, daemon_settings, "/nonexistent",
      [this, daemon_links, topics](http::Client* http_client,
                                   const core::SocketAddress& address,
                                   core::EventRing* events) {
        forwarding::AdapterSet adapters =
            adapter::MakeAdapters(http_client, address, events);
        auto client = std::make_unique<FakeTopicClient>(&scheduler);
        *topics = client.get();
        adapters.topics = std::move(client);
        adapters.records = std::make_unique<LinkedRecords>(
            std::move(adapters.records), daemon_links);
        names = adapters.names;
        return adapters;
      });
  REQUIRE(created.ok());
  return *std::move(created);
}

void ForwarderFixture::Start(const FixtureOptions& options) {
  settings = NewSettings("h1", LoopbackIp(12));
  settings.is_first_start = options.is_first_start;
  settings.load_control_enabled = options.load_control_enabled;
  settings.max_address_lifetime = options.max_address_lifetime;
  daemon = NewDaemon(settings, &links, &store);
  Register("e1", first, "ready");
  Register("e2", second, "ready");
}

void ForwarderFixture::Restart() {
  const KeyedLog contents = store->Backup();
  daemon.reset();
  daemon = NewDaemon(settings, &links, &store);
  store->RestoreFrom(contents);
}

void ForwarderFixture::KillHosts() {
  kept_log_ = store->Backup();
  daemon.reset();
  store = nullptr;
}

void ForwarderFixture::RestartHosts() {
  settings.is_first_start = false;
  daemon = NewDaemon(settings, &links, &store);
  store->SetLog(kept_log_);
}

FixturePeer* ForwarderFixture::AddPeer(const std::string& host,
                                       const EndpointLinkMap& peer_links) {
  const auto index = static_cast<uint32_t>(peers.size());
  auto peer = std::make_unique<FixturePeer>();
  peer->settings = NewSettings(host, LoopbackIp(20 + index));
  peer->settings.seeds = {settings.gossip_address};
  peer->links = peer_links;
  peer->daemon = NewDaemon(peer->settings, &peer->links, &peer->store);
  // Hosts accept datagrams from addresses that the platform names.
  store->Write(names.fleet, host, peer->settings.gossip_address.ToString());
  WriteRegistration(peer->store, "e1", first, "ready", "p", "v1", 1);
  WriteRegistration(peer->store, "e2", second, "ready", "p", "v1", 2);
  peer->store->Write(names.configuration, names.configuration_key,
                     kConfiguration);
  const auto carriers = fmt::format("wasabi_carriers {}\n", peers.size() + 1);
  const auto knows_all = [&](const forwarder::ForwarderSettings& of) {
    return GetInternal("/metrics", of).find(carriers) != std::string::npos;
  };
  REQUIRE(RunUntil(
      [&]() { return knows_all(settings) && knows_all(peer->settings); }));
  peers.push_back(std::move(peer));
  return peers.back().get();
}

void ForwarderFixture::WriteConfiguration() {
  store->Write(names.configuration, names.configuration_key, kConfiguration);
}

void ForwarderFixture::Configure() {
  WriteConfiguration();
  REQUIRE(RunUntil([this]() { return Get("/ready", true).status == 200; }));
}

void ForwarderFixture::Register(const char* id,
                                const RawServer& server,
                                const char* state,
                                const char* pool,
                                const char* software_version) {
  WriteRegistration(store, id, server, state, pool, software_version,
                    ++sequence_);
}

void ForwarderFixture::WriteRegistration(FakeTopicClient* topics,
                                         const char* id,
                                         const RawServer& server,
                                         const char* state,
                                         const char* pool,
                                         const char* software_version,
                                         int sequence) {
  topics->Write(
      names.registrations, id,
      fmt::format(
          R"({{"service":"{}","address":"{}","zone":"{}","version":"{}",)"
          R"("slots":8,"state":"{}","cold_left_ms":0,"seq":{},"born":1}})",
          pool, server.address().ToString(),
          data_centres.contains(id) ? data_centres.at(id) : "z1",
          software_version, state, sequence));
}

std::string ForwarderFixture::Respond(RawServer* server,
                                      const std::string& text) {
  received.push_back(text);
  if (script.empty()) {
    return "";
  }
  std::string answer = script.front();
  script.pop_front();
  if (!answer.empty() && answer.back() == kClose) {
    answer.pop_back();
    loop.Post([server]() { server->CloseAll(); });
  } else if (!answer.empty() && answer.back() == kReset) {
    answer.pop_back();
    reset_timers_.push_back(loop.NewTimer([server]() { server->ResetAll(); }));
    reset_timers_.back()->StartOnce(kResetDelay);
  }
  return answer;
}

bool ForwarderFixture::RunUntil(const std::function<bool()>& is_done) {
  const core::TimePoint end = loop.Now() + kTestTimeout;
  while (!is_done() && loop.Now() < end) {
    const auto timer = loop.NewTimer([this]() { loop.Stop(); });
    timer->StartOnce(core::milliseconds(5));
    loop.Run();
  }
  return loop.Now() < end;
}

std::shared_ptr<http::OriginCall> ForwarderFixture::Send(
    const std::string& target,
    const http::Headers& more,
    bool is_ready_check,
    CallerResult* result) {
  http::OriginRequest request;
  request.address =
      is_ready_check ? settings.ready_address : settings.callers_address;
  request.method = "GET";
  request.target = target;
  request.headers = {{"Host", "a.test"}, {"Request-Id", request_id}};
  for (const auto& [name, value] : more.fields()) {
    request.headers.Add(name, value);
  }
  http::OriginCallbacks callbacks;
  callbacks.on_head = [result](const http::AnswerHead& head) {
    result->status = head.status();
    result->headers = head.headers();
  };
  callbacks.on_body = [result](std::string_view piece) {
    result->body.append(piece);
  };
  callbacks.on_end = [result](http::OriginOutcome end) { result->end = end; };
  return client.Send(request, std::move(callbacks));
}

CallerResult ForwarderFixture::Get(
    const std::string& target,
    bool is_ready_check,
    const std::vector<http::Headers::Field>& more) {
  CallerResult result;
  http::Headers headers = {{"Authorization", "Bearer k1"},
                           {"Deadline-Ms", "1500"}};
  for (const auto& [name, value] : more) {
    headers.Add(name, value);
  }
  Send(target, headers, is_ready_check, &result);
  const core::TimePoint end = loop.Now() + kTestTimeout;
  while (!result.end && loop.Now() < end) {
    const auto timer = loop.NewTimer([this]() { loop.Stop(); });
    timer->StartOnce(core::milliseconds(2));
    loop.Run();
  }
  return result;
}

std::string ForwarderFixture::GetInternal(
    const std::string& target,
    const forwarder::ForwarderSettings& of) {
  CallerResult result;
  http::OriginRequest request;
  request.address = of.internal_address;
  request.method = "GET";
  request.target = target;
  http::OriginCallbacks callbacks;
  callbacks.on_body = [&result](std::string_view piece) {
    result.body.append(piece);
  };
  callbacks.on_end = [&result](http::OriginOutcome end) { result.end = end; };
  client.Send(request, std::move(callbacks));
  RunUntil([&result]() { return result.end.has_value(); });
  return result.body;
}

}  // namespace wasabi::support
