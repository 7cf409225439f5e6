#include "Tests/Control/control_fixture.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "LibCore/text.h"
#include "LibIntent/configuration_json.h"
#include "Utilities/Wasabictl/control_client.h"

namespace wasabi::control {

namespace {

constexpr auto kWaitLimit = std::chrono::seconds(20);
constexpr auto kPollPause = std::chrono::milliseconds(20);

// An address of this process's own part of 127.0.0.0/8 with a free port.
core::SocketAddress FreeAddress(int type = SOCK_STREAM) {
  constexpr int kParts = 250;
  static int count = 0;
  const int process = getpid() % kParts;
  const int number = 1 + count++ % kParts;
  auto wanted = core::SocketAddress::Parse(
      fmt::format("127.91.{}.{}:1", process, number));
  sockaddr_in native = wanted->ToNative();
  native.sin_port = 0;
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const bool is_bound = bind(descriptor, reinterpret_cast<sockaddr*>(&native),
                             sizeof(native)) == 0;
  REQUIRE(is_bound);
  socklen_t size = sizeof(native);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&native), &size);
  close(descriptor);
  return core::SocketAddress::FromNative(native);
}

}  // namespace

ControlFixture::ControlFixture() : platform_address_(FreeAddress()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wasabi-control-XXXXXX")
          .string();
  folder_ = mkdtemp(pattern.data());
}

ControlFixture::~ControlFixture() {
  controls_.clear();
  std::filesystem::remove_all(folder_);
}

void ControlFixture::StartPlatform() {
  platform_ = std::make_unique<ChildProcess>(
      "standin_platform",
      std::vector<std::string>{"--address=" + platform_address_.ToString(),
                               "--host_list_lag_ms=0"});
  platform_->WaitForOutput("listening on");
}

void ControlFixture::StartControl(int number, const std::string& extra) {
  const core::SocketAddress http = FreeAddress();
  control_addresses_[number] = http;
  const std::string settings = fmt::format(
      "[host]\nid = entry-{}/control\ndata_centre = quito-1\n[listen]\n"
      "http = {}\nlink = {}\ngossip = {}\n[platform]\naddress = {}\n{}",
      number, http.ToString(), FreeAddress().ToString(),
      FreeAddress(SOCK_DGRAM).ToString(), platform_address_.ToString(), extra);
  const std::string path =
      WriteFile(fmt::format("control-{}.ini", number), settings);
  controls_[number] = std::make_unique<ChildProcess>(
      "wasabi_control", std::vector<std::string>{"--settings=" + path});
  controls_[number]->WaitForOutput("listening on");
}

void ControlFixture::KillControl(int number) {
  controls_.erase(number);
}

void ControlFixture::StartEngine(const std::string& id,
                                 const std::string& pool,
                                 bool checks_fencing) {
  const core::SocketAddress address = FreeAddress();
  engine_addresses_[id] = address;
  engines_[id] = std::make_unique<ChildProcess>(
      "standin_engine",
      std::vector<std::string>{
          "--address=" + address.ToString(), "--id=" + id, "--pool=" + pool,
          "--platform=" + platform_address_.ToString(), "--order_ms=100",
          fmt::format("--check_fencing={}", checks_fencing)});
  WaitUntil([&] { return !Http(address, "GET", "/v1/healthz").is_null(); });
}

core::SocketAddress ControlFixture::EngineAddress(const std::string& id) const {
  return engine_addresses_.at(id);
}

core::SocketAddress ControlFixture::ControlAddress(int number) const {
  return control_addresses_.at(number);
}

CommandResult ControlFixture::Run(int number,
                                  const std::vector<std::string>& arguments) {
  std::vector<std::string> all = {"--control=" +
                                  ControlAddress(number).ToString()};
  all.insert(all.end(), arguments.begin(), arguments.end());
  ChildProcess process("wasabictl", all);
  CommandResult result;
  result.exit_status = process.WaitForExit();
  result.output = process.output();
  return result;
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

void ControlFixture::TellPlatform(const std::string& method,
                                  const std::string& target) {
  Http(platform_address_, method, target, "");
}

bool ControlFixture::WaitUntil(const std::function<bool()>& is_true) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (std::chrono::steady_clock::now() < deadline) {
    if (is_true()) {
      return true;
    }
    std::this_thread::sleep_for(kPollPause);
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

bool ControlFixture::HasEvent(int number, const std::string& name) {
  const nlohmann::json answer =
      Http(ControlAddress(number), "GET", "/v1/events");
  for (const nlohmann::json& event : intent::MemberOf(answer, "events")) {
    if (intent::MemberOf(event, "name") == nlohmann::json(name)) {
      return true;
    }
  }
  return false;
}

std::string ControlFixture::WriteFile(const std::string& name,
                                      const std::string& text) {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace wasabi::control
