//! Expert maps: the expert that each slot of each rank holds, layer by layer.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::config;

/// The dimensions of a model group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shape {
    /// Number of layers with experts.
    pub layers: usize,
    /// Number of ranks; they run passes in lockstep.
    pub ranks: usize,
    /// Number of expert copies that one rank holds per layer.
    pub slots: usize,
    /// Number of experts in each layer.
    pub experts: usize,
}

impl Shape {
    /// Returns the shape of a group in the configuration.
    pub fn from_config(group: &config::Group) -> Self {
        Self {
            layers: group.layers as usize,
            ranks: group.ranks as usize,
            slots: group.slots_per_rank as usize,
            experts: group.experts as usize,
        }
    }

    /// Returns the number of slots of one layer over all ranks.
    pub fn slots_per_layer(&self) -> usize {
        self.ranks * self.slots
    }
}

/// Identity of a map: a version, which is counted in the group's row and never reused, and the
/// digest of its content.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Id {
    /// Version, which each proposal raises by one; 0 is the initial map.
    pub version: u64,
    /// 64-bit xxh3 hash of the content.
    pub digest: u64,
}

/// The expert of each slot: layer by layer, rank by rank, slot by slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Map {
    shape: Shape,
    cells: Vec<u16>,
}

/// An expert copy that a rank must load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Move {
    /// Layer of the expert.
    pub layer: u32,
    /// Rank that loads the copy.
    pub rank: u32,
    /// Expert to load.
    pub expert: u16,
}

/// A defect of a map.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MapError {
    /// The number of cells is not layers × ranks × slots.
    #[error("The map has {cells} cells instead of {expected}; build it for this group's shape.")]
    Size {
        /// Number of cells of the map.
        cells: usize,
        /// Number of cells of the shape.
        expected: usize,
    },
    /// An expert has no copy in a layer.
    #[error("Expert {expert} has no copy in layer {layer}; give it a slot.")]
    Missing {
        /// Layer of the expert.
        layer: usize,
        /// Number of the expert.
        expert: usize,
    },
    /// A rank holds an expert twice in one layer, or an expert number out of range.
    #[error(
        "In layer {layer}, rank {rank} holds expert {expert} twice, or the number is out of range; \
         replace it."
    )]
    Cell {
        /// Layer of the expert.
        layer: usize,
        /// Rank of the cell.
        rank: usize,
        /// Number of the expert.
        expert: usize,
    },
}

impl Map {
    /// Creates the initial map of a group, which assigns experts to slots in order.
    pub fn initial(shape: Shape) -> Self {
        let expert_of = |i: usize| (i % shape.experts) as u16;
        let cells = (0..shape.layers).flat_map(|_| (0..shape.slots_per_layer()).map(expert_of));
        Self { shape, cells: cells.collect() }
    }

    /// Creates a map from the cells of all layers, each ranks × slots long.
    ///
    /// # Errors
    ///
    /// Returns an error if the map fails [`validate`](Self::validate).
    pub fn new(shape: Shape, cells: Vec<u16>) -> Result<Self, MapError> {
        let map = Self { shape, cells };
        map.validate().map(|()| map)
    }

    /// Returns the shape of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Returns the cells of one layer, rank by rank.
    pub fn layer(&self, layer: usize) -> &[u16] {
        let size = self.shape.slots_per_layer();
        &self.cells[layer * size..(layer + 1) * size]
    }

    /// Replaces the cells of one layer.
    pub fn set_layer(&mut self, layer: usize, cells: &[u16]) {
        let size = self.shape.slots_per_layer();
        self.cells[layer * size..(layer + 1) * size].copy_from_slice(cells);
    }

    /// Returns the hash of the content, which is the same on every host.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.cells.iter().flat_map(|cell| cell.to_le_bytes()).collect();
        xxh3::xxh3_64(&bytes)
    }

    /// Returns the identity of this map under `version`.
    pub fn id(&self, version: u64) -> Id {
        Id { version, digest: self.digest() }
    }

    /// Returns the copies that ranks holding `self` must load to hold `to`, which has the
    /// same shape.
    pub fn moves_to(&self, to: &Self) -> Vec<Move> {
        (0..self.shape.layers)
            .flat_map(|layer| {
                layer_moves(self.shape.slots, self.layer(layer), to.layer(layer), layer)
            })
            .collect()
    }

    /// Checks that the size matches the shape, that each expert has a copy in each layer, and that
    /// no rank holds an expert twice in a layer.
    ///
    /// # Errors
    ///
    /// Returns the first defect found.
    pub fn validate(&self) -> Result<(), MapError> {
        let expected = self.shape.layers * self.shape.slots_per_layer();
        if self.cells.len() != expected {
            return Err(MapError::Size { cells: self.cells.len(), expected });
        }
        (0..self.shape.layers).try_for_each(|layer| self.check_layer(layer))
    }

    fn check_layer(&self, layer: usize) -> Result<(), MapError> {
        let mut last_rank = vec![None; self.shape.experts];
        for (i, &cell) in self.layer(layer).iter().enumerate() {
            let (rank, expert) = (i / self.shape.slots, usize::from(cell));
            match last_rank.get_mut(expert) {
                Some(last) if *last != Some(rank) => *last = Some(rank),
                _ => return Err(MapError::Cell { layer, rank, expert }),
            }
        }
        match last_rank.iter().position(Option::is_none) {
            Some(expert) => Err(MapError::Missing { layer, expert }),
            None => Ok(()),
        }
    }
}

/// Returns the copies that ranks must load in one layer to go from `old` to `new`.
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
