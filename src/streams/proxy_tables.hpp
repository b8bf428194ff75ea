// What the proxies hold: the orders of one step become at most one message for each proxy. Bytes that several
// proxies get are made once. Pure.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "streams/message.hpp"

namespace gorsemount::streams {

class Tables {
 public:
  struct Sent {
    ProxyId proxy;
    std::shared_ptr<const Written> message;
  };
  using NameOf = std::function<std::string_view(BackendId)>;

  Tables(std::vector<std::string> operations, NameOf name_of)
      : operations_{std::move(operations)}, name_of_{std::move(name_of)} {}

  void left(ProxyId proxy) { bound_.erase(proxy); }  // a later stream of it begins with none of our tables
  [[nodiscard]] std::vector<Sent> carry_out(const std::vector<Order>& orders);
  [[nodiscard]] bool holds(BackendId backend) const;  // in some table

  struct Level {
    FurtherTries tries = FurtherTries::none;
    double level = 0;
  };
  struct Table {
    std::map<BackendId, double> lines;
    std::map<OperationId, Level> levels;
  };
  [[nodiscard]] const std::map<TableId, Table>& all() const { return tables_; }

 private:
  [[nodiscard]] std::shared_ptr<const Written> write(const Table& part, bool full) const;

  std::vector<std::string> operations_;
  NameOf name_of_;
  std::map<TableId, Table> tables_;
  std::map<ProxyId, TableId> bound_;
};

}  // namespace gorsemount::streams
