#include "Tests/Control/control_fixture.h"

#include <signal.h>
#include <stdlib.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "LibCore/text.h"
#include "LibIntent/configuration_json.h"
#include "Tests/Support/free_address.h"
#include "Utilities/Wasabictl/control_client.h"

namespace wasabi::control {

namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr auto kExitTimeout = std::chrono::seconds(30);
constexpr auto kPollInterval = std::chrono::milliseconds(20);

core::SocketAddress NextAddress() {
  constexpr uint32_t kIndexes = 200;
  static uint32_t index = 0;
  return support::FreeAddress(support::LoopbackIp(index++ % kIndexes));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

ControlFixture::ControlFixture() : platform_address_(NextAddress()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wasabi-control-XXXXXX")
          .string();
  folder_ = mkdtemp(pattern.data());
  for (const int number : {1, 2}) {
    gossip_addresses_[number] = NextAddress();
  }
}

ControlFixture::~ControlFixture() {
  controls_.clear();
  std::filesystem::remove_all(folder_);
}

ControlFixture::ChildPtr ControlFixture::StartServer(
    const std::vector<std::string>& arguments,
    const core::SocketAddress& address,
    const std::string& health_target) {
  std::vector<std::string> all = arguments;
  all[0] = std::string(WASABI_BIN_DIR) + "/" + all[0];
  auto process = support::ChildProcess::Start(all, folder_ + "/servers.log");
  REQUIRE(process.ok());
  REQUIRE(WaitUntil(
      [&] { return !Http(address, "GET", health_target).is_null(); }));
  return std::move(process).value();
}

CommandResult ControlFixture::RunProgram(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> all = arguments;
  all[0] = std::string(WASABI_BIN_DIR) + "/" + all[0];
  const std::string path = WriteFile("output", "");
  const auto process = support::ChildProcess::Start(all, path);
  REQUIRE(process.ok());
  CommandResult result;
  const auto exit = (*process)->Wait(kExitTimeout);
  result.exit_status = exit ? exit->code : -1;
  result.output = ReadFile(path);
  return result;
}

void ControlFixture::StartPlatform() {
  platform_ = StartServer(
      {"standin_platform", "--address=" + platform_address_.ToString(),
       "--host_list_lag_ms=0"},
      platform_address_, "/v1/hosts");
}

void ControlFixture::StartControl(int number, const std::string& extra) {
  const core::SocketAddress http = NextAddress();
  control_addresses_[number] = http;
  const std::string settings = fmt::format(
      "[host]\nid = entry-{}/control\ndata_centre = quito-1\n[listen]\n"
      "http = {}\nlink = {}\ngossip = {}\n[platform]\naddress = {}\n"
      "[membership]\nseeds = {}\n{}",
      number, http.ToString(), NextAddress().ToString(),
      gossip_addresses_.at(number).ToString(), platform_address_.ToString(),
      gossip_addresses_.at(3 - number).ToString(), extra);
  const std::string path =
      WriteFile(fmt::format("control-{}.ini", number), settings);
  controls_[number] = StartServer({"wasabi_control", "--settings=" + path},
                                  http, "/v1/healthz");
}

int ControlFixture::StopControl(int number) {
  controls_.at(number)->Signal(SIGTERM);
  const auto exit = controls_.at(number)->Wait(kExitTimeout);
  return exit ? exit->code : -1;
}

void ControlFixture::SignalControl(int number, int signal_number) {
  controls_.at(number)->Signal(signal_number);
}

void ControlFixture::KillControl(int number) {
  controls_.erase(number);
}

void ControlFixture::StartEngine(const std::string& id,
                                 const std::string& pool,
                                 bool checks_fencing) {
  const core::SocketAddress address = NextAddress();
  engine_addresses_[id] = address;
  engines_[id] = StartServer(
      {"standin_engine", "--address=" + address.ToString(), "--id=" + id,
       "--pool=" + pool, "--platform=" + platform_address_.ToString(),
       "--order_ms=100", fmt::format("--check_fencing={}", checks_fencing)},
      address, "/v1/healthz");
}

core::SocketAddress ControlFixture::EngineAddress(const std::string& id) const {
  return engine_addresses_.at(id);
}

core::SocketAddress ControlFixture::ControlAddress(int number) const {
  return control_addresses_.at(number);
}

CommandResult ControlFixture::Run(int number,
                                  const std::vector<std::string>& arguments) {
  std::vector<std::string> all = {
      "wasabictl", "--control=" + ControlAddress(number).ToString()};
  all.insert(all.end(), arguments.begin(), arguments.end());
  return RunProgram(all);
}

nlohmann::json ControlFixture::RunJson(int number,
                                       std::vector<std::string> arguments) {
  arguments.emplace_back("--json");
  const CommandResult result = Run(number, arguments);
  return nlohmann::json::parse(
      result.output.substr(0, result.output.find('\n')), nullptr, false);
}

std::string ControlFixture::Plan(int number, const std::string& text) {
  const nlohmann::json plan =
      RunJson(number, {"plan", WriteFile("intent.ini", text)});
  std::string id;
  intent::ReadMember(plan, "plan", &id).IgnoreError();
  return id;
}

nlohmann::json ControlFixture::Http(const core::SocketAddress& address,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body) {
  wasabictl::ControlClient client({address}, std::chrono::seconds(20));
  const auto answer = client.Call(method, target, body);
  return answer.ok() ? answer->body : nlohmann::json();
}

void ControlFixture::SetFaults(const std::string& json) {
  Http(platform_address_, "POST", "/faults", json);
}

void ControlFixture::CallPlatform(const std::string& method,
                                  const std::string& target) {
  Http(platform_address_, method, target, "");
}

bool ControlFixture::WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

nlohmann::json ControlFixture::Status(int number) {
  return Http(ControlAddress(number), "GET", "/v1/status");
}

bool ControlFixture::WaitForOffset(int number, int64_t offset) {
  return WaitUntil([&] {
    int64_t applied = -1;
    intent::ReadMember(Status(number), "applied_offset", &applied)
        .IgnoreError();
    return applied >= offset;
  });
}

bool ControlFixture::WaitForMembers(int number, size_t members) {
  return WaitUntil([&] {
    return intent::MemberOf(Status(number), "members").size() == members;
  });
}

int ControlFixture::CountEvents(int number, const std::string& name) {
  const nlohmann::json answer =
      Http(ControlAddress(number), "GET", "/v1/events");
  int count = 0;
  for (const nlohmann::json& event : intent::MemberOf(answer, "events")) {
    count += intent::MemberOf(event, "name") == nlohmann::json(name) ? 1 : 0;
  }
  return count;
}

std::string ControlFixture::WriteFile(const std::string& name,
                                      const std::string& text) {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace wasabi::control
