// A recording on disk: HDF5, columns in compressed chunks with a checksum each. Written so that a reader can
// follow, and so that a writer that is killed leaves a file that reads up to what was flushed last.
//
//   /steps/{t,inputs_end,orders_end,digest}   one row a step of the coordinator; t in micros from the
//   beginning /inputs, /orders                          bytes; a step's end where the columns say
//   /invocations/{came,took,operation,proxy,worker,outcome,tries}   micros; worker 65535: none
//   /text/{settings,day,names,missing}        UTF-8; names and missing are JSON lines
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gorsemount::record {

inline constexpr int kSchema = 2;  // 1 had no `tries`
inline constexpr int kSchemaOldest = 1;

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
  std::int64_t began_wall = 0;  // micros since 1970
  std::string settings, day;    // as they were given
};

class Writer {
 public:
  // Throws std::runtime_error, with the file's name.
  Writer(const std::string& file, const Header& header);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void step(const StepRow& row);
  void invocation(const InvocationRow& row);
  void name(const std::string& kind, std::size_t number,
            const std::string& name);  // what a number stands for
  void missing(const std::string& what, std::uint64_t n);
  // All so far is on its way to the disk, whole. Throws std::runtime_error if it can't be.
  void flush();
  [[nodiscard]] std::uint64_t bytes() const;  // so far, before compression

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
  std::uint64_t size = 0;            // of the file, bytes
  bool cut = false;                  // it ends before what its columns announce
};

// Reads a file, or up to its last whole row where it was cut. Throws std::runtime_error with the file, the
// place and what is wrong: a checksum, a schema that is not known, sizes that can't be. Takes no more memory
// than `bytes_most`.
[[nodiscard]] Recording read(const std::string& file, std::uint64_t bytes_most = 4ULL << 30U);

}  // namespace gorsemount::record
