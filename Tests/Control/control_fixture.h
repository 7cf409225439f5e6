// A platform stand-in, control daemons and wasabictl as real processes.

#ifndef TESTS_CONTROL_CONTROL_FIXTURE_H_
#define TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/socket_address.h"
#include "Tests/Support/Fleet/child_process.h"

namespace wasabi::control {

// What one run of wasabictl did.
struct CommandResult {
  int exit_status = -1;
  std::string output;
};

class ControlFixture {
 public:
  ControlFixture();
  ~ControlFixture();

  void StartPlatform();
  // Starts the control daemon of the given number, 1 or 2; `extra` is added to
  // its settings file.
  void StartControl(int number, const std::string& extra = "");
  void SignalControl(int number, int signal_number);
  // Ends it without a shutdown.
  void KillControl(int number);
  // Asks the daemon to shut down; its exit code, or -1 where it does not exit.
  int StopControl(int number);
  // Starts a stand-in engine that registers itself in `pool`.
  void StartEngine(const std::string& id,
                   const std::string& pool,
                   bool checks_fencing);
  core::SocketAddress EngineAddress(const std::string& id) const;

  // Runs a program of the build to its end.
  CommandResult RunProgram(const std::vector<std::string>& arguments);
  // Runs wasabictl against the control daemon `number`.
  CommandResult Run(int number, const std::vector<std::string>& arguments);
  // Runs it and reads its output as JSON.
  nlohmann::json RunJson(int number, std::vector<std::string> arguments);
  // Makes a plan of the intent `text` and returns its id.
  std::string Plan(int number, const std::string& text);

  // Calls an HTTP interface; the body of the answer, or null.
  nlohmann::json Http(const core::SocketAddress& address,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body = "");
  void SetFaults(const std::string& json);
  void TellPlatform(const std::string& method, const std::string& target);
  // Polls until `is_true` holds, at most twenty seconds.
  bool WaitUntil(const std::function<bool()>& is_true);
  // The state of the daemon, as GET /v1/status tells it.
  nlohmann::json Status(int number);
  bool WaitForOffset(int number, int64_t offset);
  // Waits until the daemon sees so many members.
  bool WaitForMembers(int number, size_t members);
  // How many events of this name the daemon has recorded.
  int CountEvents(int number, const std::string& name);

  // Writes a file in the fixture's folder and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);

 private:
  using ChildPtr = std::unique_ptr<support::ChildProcess>;

  core::SocketAddress ControlAddress(int number) const;
  // Starts a program of the build and waits until it answers at `address`.
  ChildPtr StartServer(const std::vector<std::string>& arguments,
                       const core::SocketAddress& address,
                       const std::string& health_target);

  std::string folder_;
  core::SocketAddress platform_address_;
  ChildPtr platform_;
  std::map<int, ChildPtr> controls_;
  std::map<int, core::SocketAddress> control_addresses_;
  // The gossip addresses of both control daemons, which are each other's seeds.
  std::map<int, core::SocketAddress> gossip_addresses_;
  std::map<std::string, ChildPtr> engines_;
  std::map<std::string, core::SocketAddress> engine_addresses_;
};

}  // namespace wasabi::control

#endif  // TESTS_CONTROL_CONTROL_FIXTURE_H_
