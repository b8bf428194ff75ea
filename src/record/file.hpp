// A recording on disk, in HDF5: columns in compressed chunks, each with a checksum. It is written in SWMR
// mode, so that a reader can follow it and a killed writer leaves a file that is readable up to the last
// flush.
//
//   /steps/{t,inputs_end,orders_end,digest}   one row per step of the coordinator; t in microseconds since
//   the
//                                             beginning
//   /inputs, /orders                          bytes; each step ends at the offset in its *_end column
//   /invocations/{came,took,operation,proxy,worker,outcome,tries}   units of 0.1 ms, `came` as difference to
//                                             the previous row; worker 65535 means none
//   /text/{settings,day,names,missing}        UTF-8; names and missing are JSON lines
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gorsemount::record {

inline constexpr int kSchema = 2;  // schema 1 has no `tries` column
inline constexpr int kOldestSchema = 1;

enum class Outcome : std::uint8_t { succeeded, late, errored, limited, no_line, open };

struct StepRow {
  std::int64_t t = 0;
  std::uint64_t digest = 0;
  std::string inputs, orders;
};
struct InvocationRow {
  std::int64_t came = 0;
  std::uint32_t took = 0;
  std::uint8_t operation = 0, outcome = 0, tries = 1;
  std::uint16_t proxy = 0, worker = 65535;
  bool operator==(const InvocationRow&) const = default;
};

struct Header {
  int schema = kSchema;
  std::string name;             // of the coordinator
  std::int64_t began_wall = 0;  // microseconds since the Unix epoch
  std::string settings, day;    // source texts
};

class Writer {
 public:
  // Throws std::runtime_error with the file name.
  Writer(const std::string& file, const Header& header);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void step(const StepRow& row);
  void invocation(const InvocationRow& row);
  void name(const std::string& kind, std::size_t number,
            const std::string& name);  // the name behind a number in the columns
  void missing(const std::string& what, std::uint64_t n);
  // Hands all rows so far to the operating system. Throws std::runtime_error on failure.
  void flush();
  [[nodiscard]] std::uint64_t bytes() const;  // written so far, before compression

 private:
  struct State;
  std::unique_ptr<State> state_;
};

struct Recording {
  Header header;
  std::vector<StepRow> steps;
  std::vector<InvocationRow> invocations;
  std::vector<std::string> proxies, workers, operations;
  std::vector<std::string> missing;  // JSON lines
  std::uint64_t size = 0;            // file size in bytes
  bool cut = false;                  // truncated: some columns hold fewer rows or bytes than others need
};

// Reads a file; a truncated one is read up to its last complete row. Throws std::runtime_error with the file,
// the position and the fault: a wrong checksum, an unknown schema or impossible sizes. Column data takes at
// most `max_bytes` of memory.
[[nodiscard]] Recording read(const std::string& file, std::uint64_t max_bytes = 4ULL << 30U);

}  // namespace gorsemount::record
