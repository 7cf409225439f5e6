// A process of the tests: started with arguments, ended by its id.

#ifndef TESTS_CONTROL_CHILD_PROCESS_H_
#define TESTS_CONTROL_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace wasabi::control {

class ChildProcess {
 public:
  // Starts the program `name` of the build's folder. Its standard output and
  // error go to a pipe.
  ChildProcess(const std::string& name,
               const std::vector<std::string>& arguments);
  // Kills the process where it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Reads output until `text` appeared; false at the end of the output or after
  // ten seconds.
  bool WaitForOutput(const std::string& text);
  // Reads output to its end and returns the exit status; -1 where the process
  // did not exit by itself within thirty seconds.
  int WaitForExit();
  void Signal(int signal_number) const;
  // What was read so far.
  const std::string& output() const { return output_; }

 private:
  // Reads more output within `timeout_ms`; false at its end.
  bool ReadMore(int timeout_ms);

  pid_t pid_ = -1;
  int descriptor_ = -1;
  std::string output_;
  bool has_ended_ = false;
};

}  // namespace wasabi::control

#endif  // TESTS_CONTROL_CHILD_PROCESS_H_
