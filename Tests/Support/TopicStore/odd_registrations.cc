#include "Tests/Support/TopicStore/odd_registrations.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::support {

namespace {

using Rows = std::vector<OddRegistration>;

constexpr size_t kLongText = 256U << 10U;
constexpr size_t kFewLevels = 10;

struct Nest {
  const char* what;
  std::string text;
  bool is_closed;
};

std::string Times(size_t n, std::string_view text) {
  std::string repeated;
  repeated.reserve(n * text.size());
  for (size_t i = 0; i < n; ++i) {
    repeated += text;
  }
  return repeated;
}

void AddField(Rows& rows,
              const std::string& key,
              const std::vector<std::string>& values) {
  rows.push_back({"no " + key, RegistrationWith(key, "")});
  for (const std::string& it : values) {
    rows.push_back({key + " = " + it.substr(0, 40), RegistrationWith(key, it)});
  }
}

void AddFields(Rows& rows) {
  const std::vector<std::string> no_text = {
      R"("")", "null", "true", "7", "-1", "1.5", "[]", R"(["p"])", "{}"};
  for (const char* key : {"service", "zone", "version", "address", "state"}) {
    AddField(rows, key, no_text);
  }
  const std::vector<std::string> no_integer = {"null",
                                               "true",
                                               "false",
                                               R"("4")",
                                               "2.5",
                                               "4.0",
                                               "1e2",
                                               "1e400",
                                               "-1",
                                               "[4]",
                                               "{}",
                                               "9223372036854775808",
                                               "1e300",
                                               "18446744073709551616",
                                               std::string(400, '9')};
  for (const char* key : {"slots", "seq"}) {
    AddField(rows, key, no_integer);
  }
  AddField(rows, "slots", {"0", "4294967295", "4294967297", "65537"});
  AddField(rows, "cold_left_ms",
           {"null", "true", R"("2500")", "[1]", "{}", "1e300", "1e400",
            "18446744073709551616"});
  for (const std::string& it : no_integer) {
    rows.push_back(
        {"born = " + it.substr(0, 40), RegistrationWith("born", it)});
  }
  AddField(rows, "state", {R"("warming")", R"("READY")", R"("ready ")"});
  AddField(rows, "address",
           {R"("127.0.0.1")",
            R"("127.0.0.1:")",
            R"("127.0.0.1:0")",
            R"("127.0.0.1:65536")",
            R"("127.0.0.1:4294967376")",
            R"("127.0.0.1:+80")",
            R"("127.0.0.1:-80")",
            R"("127.0.0.1:080")",
            R"("127.0.0.1:80 ")",
            R"(" 127.0.0.1:80")",
            R"("127.0.0.1 :80")",
            R"("127.0.0.1:8e1")",
            R"("127.0.0.1:80:80")",
            R"("127.0.0:80")",
            R"("127.0.0.256:80")",
            R"("0.0.0.0:80")",
            R"("[::1]:80")",
            R"("::1:80")",
            R"("h:80")",
            R"(":80")",
            R"("127.0.0.1\u0000x:80")",
            R"("127.0.0.1:80\u0000")",
            R"("127.0.0.1:80\r\nX: y")",
            '"' + std::string(kLongText, '1') + ":80\""});
}

void AddNesting(Rows& rows) {
  for (const size_t depth :
       {kFewLevels, size_t{1000}, size_t{100'000}, size_t{1'000'000}}) {
    const std::string open_lists(depth, '[');
    const std::string open_objects = Times(depth, R"({"a":)");
    const Nest nests[] = {
        {"lists, not closed", open_lists, false},
        {"lists", open_lists + std::string(depth, ']'), true},
        {"objects, not closed", open_objects, false},
        {"objects", open_objects + "1" + std::string(depth, '}'), true}};
    for (const Nest& nest : nests) {
      const std::string name = fmt::format("{} {}", depth, nest.what);
      rows.push_back({name, nest.text});
      rows.push_back({name + " as zone", RegistrationWith("zone", nest.text)});
      // New fields are allowed, with a few levels.
      if (depth > kFewLevels || !nest.is_closed) {
        rows.push_back(
            {name + " in a new field", RegistrationWith("new", nest.text)});
      }
    }
  }
}

void AddTexts(Rows& rows) {
  const std::string whole = WholeRegistration();
  Rows texts = {
      {"empty", ""},
      {"a space", " "},
      {"a list", "[1]"},
      {"an empty object", "{}"},
      {"a number", "7"},
      {"a text", R"("ready")"},
      {"null", "null"},
      {"zero bytes", std::string(16, '\0')},
      {"ends with a zero byte", whole + '\0'},
      {"no UTF-8", "\xff\xfe"},
      {"no UTF-8 in a field", RegistrationWith("zone", "\"z\xc3\x28\"")},
      {"half of a UTF-8 character", RegistrationWith("zone", "\"z\xe2\x82\"")},
      {"a lone surrogate", RegistrationWith("zone", R"("\ud800")")},
      {"surrogates in reverse order",
       RegistrationWith("zone", R"("\udc00\ud800")")},
      {"a zero byte in a text",
       RegistrationWith("zone", std::string("\"\0\"", 3))},
      {"a NUL in a name",
       RegistrationWith("slots", "").insert(1, R"("slots\u0000":4,)")},
      {"256 KB of one text", '"' + std::string(kLongText, 'x') + '"'},
      {"256 KB of digits", std::string(kLongText, '7')},
      {"two records", whole + whole},
      {"the address twice",
       RegistrationWith("address",
                        R"("127.0.0.1:80","address":"127.0.0.2:80")")},
      {"a comment", whole + "// x"},
      {"a comma too many", RegistrationWith("zone", R"("z",)")}};
  rows.insert(rows.end(), texts.begin(), texts.end());
  for (size_t n = 1; n < whole.size(); ++n) {
    rows.push_back({fmt::format("the first {} bytes", n), whole.substr(0, n)});
  }
}

}  // namespace

std::string RegistrationWith(const std::string& key, const std::string& value) {
  std::vector<std::pair<std::string, std::string>> fields = {
      {"service", R"("p")"},
      {"address", R"("127.0.0.1:80")"},
      {"zone", R"("z1")"},
      {"version", R"("v1")"},
      {"slots", "4"},
      {"state", R"("ready")"},
      {"cold_left_ms", "0"},
      {"seq", "3"},
      {"born", "1700000000000"},
  };
  const auto it = std::find_if(fields.begin(), fields.end(),
                               [&](const auto& it) { return it.first == key; });
  if (it == fields.end()) {
    fields.emplace_back(key, value);
  } else {
    it->second = value;
  }
  std::string text;
  for (const auto& [name, json] : fields) {
    if (!json.empty()) {
      text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", name, json);
    }
  }
  return "{" + text + "}";
}

std::string WholeRegistration() {
  return RegistrationWith("slots", "4");
}

std::vector<OddRegistration> OddRegistrations() {
  Rows rows;
  AddFields(rows);
  AddNesting(rows);
  AddTexts(rows);
  return rows;
}

std::string Mutate(std::string text, core::RandomSource* random) {
  constexpr std::string_view kBytes("\"{}[]:,\\0123456789eE+-.tfnu \0\xff\xc3",
                                    30);
  constexpr uint64_t kMaxChanges = 4;
  for (uint64_t n = 1 + random->Below(kMaxChanges); n > 0; --n) {
    const size_t at = random->Below(text.size());
    const size_t length = 1 + random->Below(8);
    const char byte = kBytes[random->Below(kBytes.size())];
    switch (random->Below(4)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(at, 1, byte);
        break;
      case 2:
        text.erase(at, std::min(length, text.size() - 1));
        break;
      default:
        text.insert(at, text.substr(at, length));
        break;
    }
  }
  return text;
}

}  // namespace wasabi::support
