#include "standins/records.hpp"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace gorsemount::standins {

Recorder::Recorder(const std::string& file) : file_{std::fopen(file.c_str(), "ae")} {
  if (!file_) throw std::system_error{errno, std::generic_category(), "records file " + file};
}

void Recorder::write(Instant at, const char* what, nlohmann::ordered_json fields) {
  fields["t"] = (at - Instant{}).micros(), fields["what"] = what;
  const std::string line = fields.dump() + "\n";
  std::fwrite(line.data(), 1, line.size(), file_.get());
}

std::vector<Record> read_records(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator{folder})
    if (entry.path().extension() == ".records") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  std::vector<Record> records;
  for (const auto& path : files) {
    std::ifstream in{path};
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
      auto fields = nlohmann::json::parse(line, nullptr, false);
      if (fields.is_discarded() || !fields.contains("t") || !fields.contains("what")) {
        if (in.eof()) break;
        throw std::runtime_error{path.string() + ":" + std::to_string(number) + ": invalid record"};
      }
      const auto t = fields["t"].get<std::int64_t>();
      const auto what = fields["what"].get<std::string>();
      records.push_back({t, what, std::move(fields)});
    }
  }
  std::stable_sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.t < b.t; });
  return records;
}

}  // namespace gorsemount::standins
