#include <topaztack/policy/class_queue.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    std::size_t indexOf(RequestClass requestClass) { return static_cast<std::size_t>(requestClass); }

    void countRemoval(RequestQueue& queue, ClassQueue& ofClass)
    {
        --queue.size;
        --ofClass.size;
    }

    void eraseIfIdle(ClassQueue& ofClass, std::map<TrainerName, TrainerQueue>::iterator place)
    {
        if (place->second.requests.empty() && place->second.virtualTime <= ofClass.virtualTime)
            ofClass.trainers.erase(place);
    }

    /// The trainer to be served next among those whose head is servable.
    std::map<TrainerName, TrainerQueue>::iterator nextTrainer(
        ClassQueue& ofClass, const std::function<bool(const QueuedRequest&)>& isServable)
    {
        auto best = ofClass.trainers.end();
        for (auto place = ofClass.trainers.begin(); place != ofClass.trainers.end(); ++place) {
            const auto& trainer = place->second;
            if (trainer.requests.empty() || !isServable(trainer.requests.front()))
                continue;
            if (best == ofClass.trainers.end() || trainer.virtualTime < best->second.virtualTime)
                best = place;
        }
        return best;
    }

} // namespace

std::size_t countQueuedAhead(const RequestQueue& queue, RequestClass requestClass)
{
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= indexOf(requestClass); ++index)
        ahead += queue.classes[index].size;
    return ahead;
}

void pushRequest(RequestQueue& queue, QueuedRequest request)
{
    auto& ofClass = queue.classes[indexOf(request.requestClass)];
    auto& trainer = ofClass.trainers[request.trainer];
    if (trainer.requests.empty())
        trainer.virtualTime = std::max(trainer.virtualTime, ofClass.virtualTime);
    trainer.requests.push_back(std::move(request));
    ++ofClass.size;
    ++queue.size;
}

std::optional<QueuedRequest> popRequest(
    RequestQueue& queue, const std::function<bool(const QueuedRequest&)>& isServable)
{
    for (auto& ofClass : queue.classes) {
        if (ofClass.size == 0)
            continue;
        const auto place = nextTrainer(ofClass, isServable);
        if (place == ofClass.trainers.end())
            continue;
        auto& trainer = place->second;
        auto request = std::move(trainer.requests.front());
        trainer.requests.pop_front();
        ofClass.virtualTime = trainer.virtualTime;
        trainer.virtualTime += 1.0 / static_cast<double>(std::max<std::uint64_t>(1, request.weight));
        countRemoval(queue, ofClass);
        eraseIfIdle(ofClass, place);
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> evictLessUrgent(RequestQueue& queue, RequestClass requestClass)
{
    for (auto index = requestClasses; index-- > indexOf(requestClass) + 1;) {
        auto& ofClass = queue.classes[index];
        auto last = ofClass.trainers.end();
        for (auto place = ofClass.trainers.begin(); place != ofClass.trainers.end(); ++place) {
            const auto& requests = place->second.requests;
            if (!requests.empty()
                && (last == ofClass.trainers.end() || requests.back().arrived > last->second.requests.back().arrived))
                last = place;
        }
        if (last == ofClass.trainers.end())
            continue;
        auto request = std::move(last->second.requests.back());
        last->second.requests.pop_back();
        countRemoval(queue, ofClass);
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> removeRequest(
    RequestQueue& queue, RequestClass requestClass, const TrainerName& trainer, std::uint64_t id)
{
    auto& ofClass = queue.classes[indexOf(requestClass)];
    const auto place = ofClass.trainers.find(trainer);
    if (place == ofClass.trainers.end())
        return std::nullopt;
    auto& requests = place->second.requests;
    const auto found = std::find_if(
        requests.begin(), requests.end(), [id](const QueuedRequest& request) { return request.id == id; });
    if (found == requests.end())
        return std::nullopt;
    auto request = std::move(*found);
    requests.erase(found);
    countRemoval(queue, ofClass);
    return request;
}

} // namespace topaztack
