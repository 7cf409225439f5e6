// Compares the pages of result codes and events with the tables in the code.

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "LibCore/event.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::core {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(WASABI_SOURCE_DIR) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

size_t CountRows(const std::string& page) {
  size_t rows = 0;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const bool is_row =
        line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9';
    rows += is_row ? 1 : 0;
  }
  return rows;
}

TEST_CASE("docs/RESULT_CODES.md lists every result code") {
  const std::string page = ReadPage("RESULT_CODES.md");
  for (const ResultCodeEntry& it : ResultCodeTable()) {
    const std::string row =
        fmt::format("| {} | `{}` | {} | {} |", static_cast<int>(it.code),
                    it.name, it.http_status, it.meaning);
    CHECK(page.find(row) != std::string::npos);
  }
  CHECK(CountRows(page) == ResultCodeTable().size());
}

TEST_CASE("docs/EVENTS.md lists every event") {
  const std::string page = ReadPage("EVENTS.md");
  for (const EventCodeEntry& it : EventCodeTable()) {
    const std::string row = fmt::format(
        "| {} | `{}` | {} |", static_cast<int>(it.code), it.name, it.meaning);
    CHECK(page.find(row) != std::string::npos);
  }
  CHECK(CountRows(page) == EventCodeTable().size());
}

}  // namespace
}  // namespace wasabi::core
