// Tests the selection and the order of the log lines that "wasabictl explain"
// prints.

#include "Utilities/Wasabictl/log_lines.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::wasabictl {
namespace {

TEST_CASE("the lines of one request are collected from several logs") {
  const std::string path = "/tmp/log_lines_test." + std::to_string(getpid());
  std::ofstream(path) << "time_ns=30 process=a event=208 request=r1 outcome=x\n"
                         "time_ns=10 process=a event=302 request=r1 end=cut\n"
                         "time_ns=20 process=a event=208 request=r12 x\n"
                         "lines_left_out=4\n"
                         "time_ns=5 process=a event=700 request= version=3\n";
  std::vector<std::string> lines = {"time_ns=15 process=b request=r1"};
  REQUIRE(AppendRequestLines(path, "r1", &lines).ok());
  std::remove(path.c_str());
  CHECK(SortByTime(lines) ==
        std::vector<std::string>{
            "time_ns=10 process=a event=302 request=r1 end=cut",
            "time_ns=15 process=b request=r1",
            "time_ns=30 process=a event=208 request=r1 outcome=x"});
}

TEST_CASE("a log that can't be opened is an error") {
  std::vector<std::string> lines;
  CHECK(core::CodeOf(AppendRequestLines("/nonexistent", "r1", &lines)) ==
        core::ResultCode::kSettingsUnreadable);
}

}  // namespace
}  // namespace wasabi::wasabictl
