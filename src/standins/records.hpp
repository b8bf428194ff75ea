// Events on the stand-ins' sockets with their monotonic times, one JSON object a line. They are the auditor's
// only input.
#pragma once

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace gorsemount::standins {

class Recorder {
 public:
  explicit Recorder(const std::string& file);  // throws std::system_error
  // Writes `fields` with "t" (microseconds) and "what" added.
  void write(Instant at, const char* what, nlohmann::ordered_json fields);

 private:
  struct Close {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::unique_ptr<std::FILE, Close> file_;
};

struct Record {
  std::int64_t t = 0;  // microseconds
  std::string what;
  nlohmann::json fields;
  [[nodiscard]] std::string text(const char* key) const { return fields.value(key, std::string{}); }
  [[nodiscard]] double number(const char* key) const { return fields.value(key, 0.0); }
};
// Returns all records of a folder's *.records files in chronological order. A last line truncated by a kill
// is skipped; any other invalid line throws std::runtime_error with file and line.
[[nodiscard]] std::vector<Record> read_records(const std::string& folder);

}  // namespace gorsemount::standins
