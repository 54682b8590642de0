// Package layers decides which replica of a model engine holds which layers, and
// which replicas a request passes through.
//
// No card holds the whole model. Each replica holds one range of layers, and a
// request needs a path: ranges that cover every layer once and in order. Placement
// gives each data centre a set of layers of its own where its cards can hold one,
// in proportion to the cards' memory, so that every stage has room for the same
// number of requests and activations stay inside the data centre. Paths are chosen
// for each request among the ranges that the replicas report, whatever the
// placement intended; ranges need not line up, and a part of a range may be used.
//
// A VM keeps to its part of what all share: a few even shares of a card's memory and
// slots while the card is reported as not full, and of the link between two data
// centres. Of several layouts the one that carries most is chosen, also with one card
// lost; later single cards move to where room is short, and a card that took over a dead
// neighbour's layers gives them up again when others hold them.
//
// What happens when a replica dies: a path through it stalls, its requests are
// moved to another holder of the same layers, and the replica is avoided until it
// has proved itself again. Because every data centre has all layers, the missing
// range is found in another one at once, and the placement then widens the
// neighbours of the hole. The last holders of a range are used even when they are
// suspected: a doubtful answer is better than a certain refusal.
package layers
