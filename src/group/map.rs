//! Expert map: which expert each slot of each rank holds, layer by layer.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::config;

/// Sizes of a model group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shape {
    /// Layers with experts.
    pub layers: usize,
    /// Ranks that run in lock-step.
    pub ranks: usize,
    /// Expert copies that one rank holds per layer.
    pub slots: usize,
    /// Experts in each layer.
    pub experts: usize,
}

impl Shape {
    /// The shape that the operators' text gives a group.
    pub fn from_config(group: &config::Group) -> Self {
        Self {
            layers: group.layers as usize,
            ranks: group.ranks as usize,
            slots: group.slots_per_rank as usize,
            experts: group.experts as usize,
        }
    }

    /// Slots of one layer over all ranks.
    pub fn slots_per_layer(&self) -> usize {
        self.ranks * self.slots
    }
}

/// Identity of a map: a version from the table, never reused, and its content.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Id {
    /// Counted up by one with each proposal; 0 is the default map.
    pub version: u64,
    /// xxh3 of the content.
    pub digest: u64,
}

/// Expert of each slot: layer by layer, rank by rank, slot by slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Map {
    shape: Shape,
    cells: Vec<u16>,
}

/// One copy that a rank must load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Move {
    /// Layer.
    pub layer: u32,
    /// Rank that loads.
    pub rank: u32,
    /// Expert loaded.
    pub expert: u16,
}

/// What is wrong with a map.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MapError {
    /// The number of cells is not layers × ranks × slots.
    #[error("The map has {cells} cells instead of {expected}; build it for this group's shape.")]
    Size {
        /// Cells given.
        cells: usize,
        /// Cells of the shape.
        expected: usize,
    },
    /// An expert has no copy in a layer.
    #[error("Expert {expert} has no copy in layer {layer}; give it a slot.")]
    Missing {
        /// Layer.
        layer: usize,
        /// Expert.
        expert: usize,
    },
    /// A rank holds an expert twice in one layer, or one out of range.
    #[error(
        "Rank {rank} holds expert {expert} twice or out of range in layer {layer}; replace it."
    )]
    Cell {
        /// Layer.
        layer: usize,
        /// Rank.
        rank: usize,
        /// Expert.
        expert: usize,
    },
}

impl Map {
    /// The map of a group that was never changed: experts dealt out in order.
    pub fn initial(shape: Shape) -> Self {
        let deal = |i: usize| (i % shape.experts) as u16;
        let cells = (0..shape.layers).flat_map(|_| (0..shape.slots_per_layer()).map(deal));
        Self { shape, cells: cells.collect() }
    }

    /// Takes whole layers, each ranks × slots long, after checking them.
    pub fn new(shape: Shape, cells: Vec<u16>) -> Result<Self, MapError> {
        let map = Self { shape, cells };
        map.validate().map(|()| map)
    }

    /// Sizes.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Cells of one layer, rank by rank.
    pub fn layer(&self, layer: usize) -> &[u16] {
        let size = self.shape.slots_per_layer();
        &self.cells[layer * size..(layer + 1) * size]
    }

    /// Replaces the cells of one layer.
    pub fn set_layer(&mut self, layer: usize, cells: &[u16]) {
        let size = self.shape.slots_per_layer();
        self.cells[layer * size..(layer + 1) * size].copy_from_slice(cells);
    }

    /// Content hash, the same on every host.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.cells.iter().flat_map(|cell| cell.to_le_bytes()).collect();
        xxh3::xxh3_64(&bytes)
    }

    /// This map under `version`.
    pub fn id(&self, version: u64) -> Id {
        Id { version, digest: self.digest() }
    }

    /// Copies that ranks holding `self` must load to hold `to`, of the same shape.
    pub fn moves_to(&self, to: &Self) -> Vec<Move> {
        (0..self.shape.layers)
            .flat_map(|layer| {
                layer_moves(self.shape.slots, self.layer(layer), to.layer(layer), layer)
            })
            .collect()
    }

    /// Checks that every expert has a copy in every layer and none twice on a rank.
    pub fn validate(&self) -> Result<(), MapError> {
        let expected = self.shape.layers * self.shape.slots_per_layer();
        if self.cells.len() != expected {
            return Err(MapError::Size { cells: self.cells.len(), expected });
        }
        (0..self.shape.layers).try_for_each(|layer| self.check_layer(layer))
    }

    fn check_layer(&self, layer: usize) -> Result<(), MapError> {
        let mut last = vec![None; self.shape.experts];
        for (i, &cell) in self.layer(layer).iter().enumerate() {
            let (rank, expert) = (i / self.shape.slots, usize::from(cell));
            match last.get_mut(expert) {
                Some(seen) if *seen != Some(rank) => *seen = Some(rank),
                _ => return Err(MapError::Cell { layer, rank, expert }),
            }
        }
        match last.iter().position(Option::is_none) {
            Some(expert) => Err(MapError::Missing { layer, expert }),
            None => Ok(()),
        }
    }
}

/// Copies that ranks must load in one layer to go from `old` to `new`.
pub fn layer_moves(slots: usize, old: &[u16], new: &[u16], layer: usize) -> Vec<Move> {
    let ranks = old.chunks(slots).zip(new.chunks(slots)).enumerate();
    ranks
        .flat_map(|(rank, (old, new))| {
            new.iter().filter(|cell| !old.contains(cell)).map(move |&expert| Move {
                layer: layer as u32,
                rank: rank as u32,
                expert,
            })
        })
        .collect()
}
