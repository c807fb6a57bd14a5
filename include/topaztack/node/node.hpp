#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/settings.hpp>

#include <functional>
#include <memory>

/// @file
/// One VM's process: the filters put together.

namespace topaztack {

/// @brief The whole of topaztackd apart from the command line and signals.
class Node {
public:
    Node(VmSettings settings, VmIdentity identity);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// @brief Sets what an operator's `POST /v1/drain` calls, on a thread of the node; it must not block. Set before
    /// start().
    void onDrainRequested(std::function<void()> notify);

    /// @brief Listens and serves.
    /// @return ErrorKind::BadSettings if an address can't be bound.
    Result<void> start();

    /// @brief Stops accepting, waits for what is in flight within the document's drain time, then stops.
    void shutDown();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace topaztack
